#include "standin/log/LogServer.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include <event2/buffer.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>

#include "src/Log/LogBodies.h"

namespace pistachioshift::standin {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;
constexpr ev_ssize_t kMaxHeaderBytes = 16384;
constexpr auto kPendingReadInterval = std::chrono::milliseconds(20);

timeval
ToTimeval(Duration aDuration)
{
  using std::chrono::microseconds;
  constexpr int64_t kMicrosPerSecond = 1000000;
  const auto micros =
    std::chrono::duration_cast<microseconds>(aDuration).count();
  timeval value{};
  value.tv_sec = micros / kMicrosPerSecond;
  value.tv_usec = micros % kMicrosPerSecond;
  return value;
}

std::string
ReadBody(evhttp_request* aRequest)
{
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, body.data(), body.size());
  return body;
}

/** Parsed query string of a request's URI. */
class Query
{
public:
  explicit Query(evhttp_request* aRequest)
  {
    const auto* uri = evhttp_request_get_evhttp_uri(aRequest);
    const char* query = evhttp_uri_get_query(uri);
    evhttp_parse_query_str(query == nullptr ? "" : query, &m_values);
  }

  ~Query() { evhttp_clear_headers(&m_values); }
  Query(const Query&) = delete;
  Query& operator=(const Query&) = delete;

  std::string Text(const char* aName) const
  {
    const char* value = evhttp_find_header(&m_values, aName);
    return value == nullptr ? "" : value;
  }

  int64_t Number(const char* aName, int64_t aDefault) const
  {
    const std::string text = Text(aName);
    int64_t value = aDefault;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
  }

private:
  evkeyvalq m_values{};
};

std::string
PathOf(evhttp_request* aRequest)
{
  const auto* uri = evhttp_request_get_evhttp_uri(aRequest);
  const char* path = evhttp_uri_get_path(uri);
  return path == nullptr ? "" : path;
}

std::optional<StreamName>
ParseStreamPath(const std::string& aPath)
{
  constexpr std::string_view kPrefix = "/streams/";
  constexpr std::string_view kSuffix = "/records";
  if (aPath.size() <= kPrefix.size() + kSuffix.size() ||
      !aPath.starts_with(kPrefix) || !aPath.ends_with(kSuffix)) {
    return std::nullopt;
  }
  return StreamName(aPath.substr(
    kPrefix.size(), aPath.size() - kPrefix.size() - kSuffix.size()));
}

struct DelayedAction
{
  std::function<void()> action;
};

void
OnDelayElapsed(evutil_socket_t, short, void* aArgument)
{
  const std::unique_ptr<DelayedAction> delayed(
    static_cast<DelayedAction*>(aArgument));
  delayed->action();
}

}

LogServer::LogServer(event_base* aBase,
                     const Clock& aClock,
                     const LogServerOptions& aOptions)
  : m_base(aBase)
  , m_clock(aClock)
  , m_options(aOptions)
  , m_store(aOptions.retention)
  , m_http(evhttp_new(aBase))
  , m_pendingReadTimer(
      event_new(aBase, -1, EV_PERSIST, OnPendingReadTimer, this))
  , m_tokensUpdatedAt(aClock.Now())
{
  evhttp_set_max_body_size(m_http, internal::kMaxBodyBytes);
  evhttp_set_max_headers_size(m_http, kMaxHeaderBytes);
  evhttp_set_allowed_methods(m_http, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
  evhttp_set_gencb(m_http, OnRequest, this);
  const auto& endpoint = m_options.endpoint;
  evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(
    m_http, endpoint.address.c_str(), endpoint.port);
  if (socket == nullptr) {
    throw ConfigError("can't listen on " + endpoint.address);
  }
  sockaddr_in address{};
  socklen_t length = sizeof address;
  getsockname(evhttp_bound_socket_get_fd(socket),
              reinterpret_cast<sockaddr*>(&address),
              &length);
  m_port = ntohs(address.sin_port);
  const timeval interval = ToTimeval(kPendingReadInterval);
  event_add(m_pendingReadTimer, &interval);
}

LogServer::~LogServer()
{
  event_free(m_pendingReadTimer);
  evhttp_free(m_http);
}

void
LogServer::OnRequest(evhttp_request* aRequest, void* aArgument)
{
  static_cast<LogServer*>(aArgument)->Handle(aRequest);
}

void
LogServer::OnPendingReadTimer(evutil_socket_t, short, void* aArgument)
{
  static_cast<LogServer*>(aArgument)->CompletePendingReads();
}

void
LogServer::Handle(evhttp_request* aRequest)
{
  const std::string path = PathOf(aRequest);
  if (const auto stream = ParseStreamPath(path)) {
    HandleRecords(aRequest, *stream);
  } else if (path == "/faults") {
    HandleFault(aRequest);
  } else if (path == "/stats") {
    HandleStats(aRequest);
  } else {
    Exchange::Start(aRequest)->Reply(kStatusNotFound, "");
  }
}

void
LogServer::HandleRecords(evhttp_request* aRequest, const StreamName& aStream)
{
  if (evhttp_request_get_command(aRequest) == EVHTTP_REQ_POST) {
    HandleAppend(aRequest, aStream);
  } else {
    HandleRead(aRequest, aStream);
  }
}

void
LogServer::HandleFault(evhttp_request* aRequest)
{
  const Query query(aRequest);
  const auto exchange = Exchange::Start(aRequest);
  const auto mode = ParseFaultMode(query.Text("mode"));
  if (!mode) {
    exchange->Reply(kStatusBadRequest, "unknown mode\n");
    return;
  }
  m_fault = Fault{};
  m_fault.mode = *mode;
  m_fault.delay = std::chrono::milliseconds(query.Number("ms", 0));
  const int64_t count = query.Number("count", 0);
  if (count > 0) {
    m_fault.remaining = static_cast<uint64_t>(count);
  }
  exchange->Reply(kStatusOk, "ok\n");
}

void
LogServer::HandleStats(evhttp_request* aRequest)
{
  nlohmann::json stats;
  stats["appends"] = m_stats.appends;
  stats["records"] = m_stats.records;
  stats["reads"] = m_stats.reads;
  stats["over_limit"] = m_stats.overLimit;
  stats["faults"] = m_stats.faults;
  stats["streams"] = nlohmann::json::object();
  for (const auto& name : m_store.Names()) {
    const auto answer = m_store.Read(name, Offset(1), 0, m_clock.Now());
    stats["streams"][name.Value()] = { { "first", answer.first.Value() },
                                       { "end", answer.end.Value() } };
  }
  Exchange::Start(aRequest)->Reply(kStatusOk, stats.dump() + "\n");
}

void
LogServer::HandleAppend(evhttp_request* aRequest, const StreamName& aStream)
{
  const std::string body = ReadBody(aRequest);
  const auto exchange = Exchange::Start(aRequest);
  std::vector<std::string> payloads;
  try {
    payloads = internal::DecodeAppendRequest(body);
  } catch (const LogError& error) {
    exchange->Reply(kStatusBadRequest, error.what());
    return;
  }
  const Duration delay = m_fault.delay;
  switch (ConsumeFault(true)) {
    case FaultMode::kDown:
      exchange->Reply(kStatusUnavailable, "");
      return;
    case FaultMode::kClose:
      RunAfter(Duration{}, [exchange] { exchange->Drop(); });
      return;
    case FaultMode::kSlow:
      RunAfter(delay,
               [this, exchange, aStream, payloads = std::move(payloads)] {
                 Append(exchange, aStream, payloads, false);
               });
      return;
    case FaultMode::kLoseAnswer:
      Append(exchange, aStream, std::move(payloads), true);
      return;
    case FaultMode::kNone:
      Append(exchange, aStream, std::move(payloads), false);
      return;
  }
}

void
LogServer::HandleRead(evhttp_request* aRequest, const StreamName& aStream)
{
  const Query query(aRequest);
  PendingRead read;
  read.exchange = Exchange::Start(aRequest);
  read.stream = aStream;
  read.from = Offset(query.Number("from", 1));
  read.maxRecords = std::min(
    kMaxReadRecords, static_cast<size_t>(query.Number("max", kMaxReadRecords)));
  read.deadline =
    m_clock.Now() + std::chrono::milliseconds(query.Number("wait_ms", 0));
  const Duration delay = m_fault.delay;
  switch (ConsumeFault(false)) {
    case FaultMode::kDown:
      read.exchange->Reply(kStatusUnavailable, "");
      return;
    case FaultMode::kClose:
      RunAfter(Duration{}, [exchange = read.exchange] { exchange->Drop(); });
      return;
    case FaultMode::kSlow:
      RunAfter(delay, [this, read] { Read(read); });
      return;
    case FaultMode::kLoseAnswer:
    case FaultMode::kNone:
      Read(std::move(read));
      return;
  }
}

FaultMode
LogServer::ConsumeFault(bool aIsAppend)
{
  const FaultMode mode = m_fault.mode;
  const bool applies =
    mode != FaultMode::kNone && (aIsAppend || mode != FaultMode::kLoseAnswer);
  if (!applies) {
    return FaultMode::kNone;
  }
  ++m_stats.faults;
  if (m_fault.remaining != Fault::kEveryRequest) {
    --m_fault.remaining;
  }
  if (m_fault.remaining == 0) {
    m_fault = Fault{};
  }
  return mode;
}

void
LogServer::RunAfter(Duration aDelay, std::function<void()> aAction)
{
  auto delayed =
    std::make_unique<DelayedAction>(DelayedAction{ std::move(aAction) });
  const timeval delay = ToTimeval(aDelay);
  event_base_once(
    m_base, -1, EV_TIMEOUT, OnDelayElapsed, delayed.release(), &delay);
}

bool
LogServer::ConsumeAppendToken()
{
  if (m_options.appendsPerSecond == 0) {
    return true;
  }
  using Seconds = std::chrono::duration<double>;
  const double rate = m_options.appendsPerSecond;
  const MonoTime now = m_clock.Now();
  const Seconds elapsed = now - m_tokensUpdatedAt;
  m_tokens = std::min(rate, m_tokens + elapsed.count() * rate);
  m_tokensUpdatedAt = now;
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

void
LogServer::Append(const std::shared_ptr<Exchange>& aExchange,
                  const StreamName& aStream,
                  std::vector<std::string> aPayloads,
                  bool aLoseAnswer)
{
  if (!ConsumeAppendToken()) {
    ++m_stats.overLimit;
    aExchange->Reply(kStatusTooManyRequests, "");
    return;
  }
  ++m_stats.appends;
  m_stats.records += aPayloads.size();
  const auto answer =
    m_store.Append(aStream, std::move(aPayloads), m_clock.Now());
  if (aLoseAnswer) {
    RunAfter(Duration{}, [aExchange] { aExchange->Drop(); });
  } else {
    aExchange->Reply(kStatusOk, internal::EncodeAppended(answer));
  }
  CompletePendingReads();
}

void
LogServer::Read(PendingRead aRead)
{
  ++m_stats.reads;
  if (!TryAnswerRead(aRead)) {
    m_pendingReads.push_back(std::move(aRead));
  }
}

bool
LogServer::TryAnswerRead(const PendingRead& aRead)
{
  const MonoTime now = m_clock.Now();
  const auto answer =
    m_store.Read(aRead.stream, aRead.from, aRead.maxRecords, now);
  if (answer.entries.empty() && now < aRead.deadline) {
    return false;
  }
  aRead.exchange->Reply(kStatusOk, internal::EncodeReadAnswer(answer));
  return true;
}

void
LogServer::CompletePendingReads()
{
  m_pendingReads.remove_if(
    [this](const PendingRead& aRead) { return TryAnswerRead(aRead); });
}

}
