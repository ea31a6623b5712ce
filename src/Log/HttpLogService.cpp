#include "src/Log/HttpLogService.h"

#include <algorithm>
#include <map>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <fmt/format.h>

#include "src/Log/LogBodies.h"

namespace pistachioshift {

namespace {

constexpr int kStatusOk = 200;

// Each answered call lowers the timeout by its kTimeoutDecay-th part. With a
// large part, every other call would time out if the service is slower than
// the initial timeout.
constexpr int kTimeoutDecay = 8;

timeval
ToTimeval(Duration aDuration)
{
  using std::chrono::microseconds;
  const auto micros = std::chrono::duration_cast<microseconds>(aDuration);
  constexpr int64_t kMicrosPerSecond = 1000000;
  timeval value{};
  value.tv_sec = micros.count() / kMicrosPerSecond;
  value.tv_usec = micros.count() % kMicrosPerSecond;
  return value;
}

/** Outcome of an HTTP call; the body is not decoded. */
struct HttpAnswer
{
  bool connected = false; ///< False if the request was not sent.
  int status = 0;         ///< 0 if there was no answer.
  std::string body;
};

std::string
ReadBody(evhttp_request* aRequest)
{
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, body.data(), body.size());
  return body;
}

// libevent's callback gets a request without status if the connection could
// not be established, and a null request if it failed afterwards.
HttpAnswer
ToAnswer(evhttp_request* aRequest)
{
  if (aRequest == nullptr) {
    return HttpAnswer{ true, 0, {} };
  }
  const int status = evhttp_request_get_response_code(aRequest);
  if (status == 0) {
    return HttpAnswer{ false, 0, {} };
  }
  return HttpAnswer{ true, status, ReadBody(aRequest) };
}

std::string
Describe(const HttpAnswer& aAnswer)
{
  if (!aAnswer.connected) {
    return "could not connect";
  }
  if (aAnswer.status == 0) {
    return "connection lost";
  }
  return fmt::format("status {}", aAnswer.status);
}

AppendResult
ToAppendResult(const HttpAnswer& aAnswer)
{
  if (!aAnswer.connected) {
    return AppendRefused{ Describe(aAnswer) };
  }
  if (aAnswer.status == 0) {
    return AppendAmbiguous{ Describe(aAnswer) };
  }
  if (aAnswer.status != kStatusOk) {
    // The service wrote nothing if it answers with any status but 200.
    return AppendRefused{ Describe(aAnswer) };
  }
  try {
    return internal::DecodeAppended(aAnswer.body);
  } catch (const LogError& error) {
    return AppendAmbiguous{ error.what() };
  }
}

ReadResult
ToReadResult(const HttpAnswer& aAnswer)
{
  if (aAnswer.status != kStatusOk) {
    return ReadFailed{ Describe(aAnswer) };
  }
  try {
    return internal::DecodeReadAnswer(aAnswer.body);
  } catch (const LogError& error) {
    return ReadFailed{ error.what() };
  }
}

}

class HttpLogService::Impl
{
public:
  using AnswerCallback = std::function<void(const HttpAnswer&)>;

  Impl(event_base* aBase, HttpLogOptions aOptions)
    : m_base(aBase)
    , m_options(std::move(aOptions))
    , m_timeout(m_options.timeout)
    , m_cleanupEvent(event_new(aBase, -1, 0, OnCleanup, this))
  {
  }

  ~Impl()
  {
    event_free(m_cleanupEvent);
    for (const auto& [number, call] : m_calls) {
      evhttp_connection_free(call->connection);
    }
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Start(evhttp_cmd_type aMethod,
             const std::string& aPath,
             const std::string& aBody,
             Duration aTimeout,
             AnswerCallback aCallback)
  {
    auto call = std::make_unique<Call>();
    call->owner = this;
    call->callback = std::move(aCallback);
    call->connection = Connect(aTimeout);
    evhttp_request* request = evhttp_request_new(OnAnswer, call.get());
    auto* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", m_options.endpoint.address.c_str());
    evhttp_add_header(headers, "Connection", "close");
    evbuffer_add(
      evhttp_request_get_output_buffer(request), aBody.data(), aBody.size());
    Call* started = call.get();
    m_calls.emplace(started, std::move(call));
    // If this fails, OnAnswer is called too.
    evhttp_make_request(started->connection, request, aMethod, aPath.c_str());
  }

  Duration Timeout() const { return m_timeout; }

private:
  struct Call
  {
    Impl* owner = nullptr;
    evhttp_connection* connection = nullptr;
    AnswerCallback callback;
    HttpAnswer answer;
    bool finished = false;
  };

  evhttp_connection* Connect(Duration aTimeout)
  {
    evhttp_connection* connection =
      evhttp_connection_base_new(m_base,
                                 nullptr,
                                 m_options.endpoint.address.c_str(),
                                 m_options.endpoint.port);
    const timeval timeout = ToTimeval(aTimeout);
    evhttp_connection_set_timeout_tv(connection, &timeout);
    evhttp_connection_set_retries(connection, 0);
    evhttp_connection_set_max_body_size(connection, internal::kMaxBodyBytes);
    return connection;
  }

  // Runs the user's callback and frees the connection from a separate event: a
  // connection can't be freed inside its own callback, and LogService must not
  // call back from within a call to it.
  static void OnAnswer(evhttp_request* aRequest, void* aArgument)
  {
    auto* call = static_cast<Call*>(aArgument);
    if (call->finished) {
      return;
    }
    call->answer = ToAnswer(aRequest);
    call->finished = true;
    event_active(call->owner->m_cleanupEvent, EV_TIMEOUT, 0);
  }

  static void OnCleanup(evutil_socket_t, short, void* aArgument)
  {
    auto* self = static_cast<Impl*>(aArgument);
    for (auto& call : self->RemoveFinished()) {
      evhttp_connection_free(call->connection);
      self->AdaptTimeout(call->answer);
      call->callback(call->answer);
    }
  }

  void AdaptTimeout(const HttpAnswer& aAnswer)
  {
    if (aAnswer.connected && aAnswer.status == 0) {
      m_timeout = std::min(m_options.maxTimeout, 2 * m_timeout);
    } else {
      m_timeout =
        std::max(m_options.timeout, m_timeout - m_timeout / kTimeoutDecay);
    }
  }

  std::vector<std::unique_ptr<Call>> RemoveFinished()
  {
    std::vector<std::unique_ptr<Call>> finished;
    for (auto entry = m_calls.begin(); entry != m_calls.end();) {
      if (entry->second->finished) {
        finished.push_back(std::move(entry->second));
        entry = m_calls.erase(entry);
      } else {
        ++entry;
      }
    }
    return finished;
  }

  event_base* m_base;
  HttpLogOptions m_options;
  Duration m_timeout;
  event* m_cleanupEvent;
  std::map<Call*, std::unique_ptr<Call>> m_calls;
};

HttpLogService::HttpLogService(event_base* aBase, HttpLogOptions aOptions)
  : m_impl(std::make_unique<Impl>(aBase, std::move(aOptions)))
{
}

HttpLogService::~HttpLogService() = default;

void
HttpLogService::Append(const StreamName& aStream,
                       std::vector<std::string> aPayloads,
                       AppendCallback aCallback)
{
  internal::CheckAppend(aPayloads);
  m_impl->Start(EVHTTP_REQ_POST,
                fmt::format("/streams/{}/records", aStream.Value()),
                internal::EncodeAppendRequest(aPayloads),
                m_impl->Timeout(),
                [callback = std::move(aCallback)](const HttpAnswer& aAnswer) {
                  callback(ToAppendResult(aAnswer));
                });
}

void
HttpLogService::Read(const StreamName& aStream,
                     Offset aFrom,
                     uint32_t aMaxRecords,
                     Duration aWait,
                     ReadCallback aCallback)
{
  using std::chrono::milliseconds;
  const auto wait = std::chrono::duration_cast<milliseconds>(aWait);
  m_impl->Start(EVHTTP_REQ_GET,
                fmt::format("/streams/{}/records?from={}&max={}&wait_ms={}",
                            aStream.Value(),
                            aFrom.Value(),
                            aMaxRecords,
                            wait.count()),
                {},
                m_impl->Timeout() + aWait,
                [callback = std::move(aCallback)](const HttpAnswer& aAnswer) {
                  callback(ToReadResult(aAnswer));
                });
}

}
