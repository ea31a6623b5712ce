#include "src/Log/HttpLogService.h"

#include <algorithm>
#include <map>
#include <utility>

#include <event2/event.h>
#include <fmt/format.h>

#include "src/Http/Client.h"
#include "src/Log/LogBodies.h"

namespace pistachioshift {

namespace {

constexpr int kStatusOk = 200;

// Each answered call lowers the timeout by its kTimeoutDecay-th part. With a
// large part, every other call would time out if the service is slower than
// the initial timeout.
constexpr int kTimeoutDecay = 8;

/** Outcome of an HTTP call; the body is not decoded. */
struct HttpAnswer
{
  bool sent = true; ///< False if certainly no byte of the request was sent.
  int status = 0;   ///< 0 if there was no answer.
  std::string body;
};

HttpClientLimits
CallLimits(Duration aTimeout)
{
  HttpClientLimits limits;
  limits.maxConnections = 1;
  limits.connectTimeout = aTimeout;
  limits.silenceTimeout = aTimeout;
  limits.maxBodyBytes = internal::kMaxBodyBytes;
  limits.maxUndeclaredBodyBytes = internal::kMaxBodyBytes;
  return limits;
}

std::string
Describe(const HttpAnswer& aAnswer)
{
  if (!aAnswer.sent) {
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
  if (!aAnswer.sent) {
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
      call->CloseConnection();
    }
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Start(const std::string& aMethod,
             const std::string& aTarget,
             const std::string& aBody,
             Duration aTimeout,
             AnswerCallback aCallback)
  {
    const auto call = std::make_shared<Call>(
      *this, aTimeout, [this] { event_active(m_cleanupEvent, EV_TIMEOUT, 0); });
    call->callback = std::move(aCallback);
    m_calls.emplace(call.get(), call);
    RequestHead head{ .method = aMethod, .target = aTarget };
    if (!aBody.empty()) {
      head.contentLength = aBody.size();
    }
    call->Send(head, aBody);
  }

  Duration Timeout() const { return m_timeout; }

private:
  // Its exchange and m_calls keep it alive.
  class Call
    : public ClientListener
    , public std::enable_shared_from_this<Call>
  {
  public:
    Call(const Impl& aOwner, Duration aTimeout, std::function<void()> aOnDone)
      : m_pool(std::make_unique<HttpClientPool>(aOwner.m_base,
                                                aOwner.m_options.endpoint,
                                                CallLimits(aTimeout)))
      , m_onDone(std::move(aOnDone))
    {
    }

    void Send(const RequestHead& aHead, const std::string& aBody)
    {
      const auto exchange = m_pool->Start(aHead, shared_from_this());
      exchange->SendBody(aBody);
      exchange->Finish();
    }

    void CloseConnection() { m_pool.reset(); }

    void OnHead(const ResponseHead& aHead) override
    {
      answer.status = aHead.status;
    }

    void OnBody(std::string_view aData) override { answer.body.append(aData); }

    void OnEnd() override { Finish(); }

    void OnDrained() override {}

    void OnFailed(ClientFailure aFailure) override
    {
      answer = HttpAnswer{ MayHaveRun(aFailure), 0, {} };
      Finish();
    }

    AnswerCallback callback;
    HttpAnswer answer;
    bool finished = false;

  private:
    void Finish()
    {
      finished = true;
      m_onDone();
    }

    std::unique_ptr<HttpClientPool> m_pool;
    std::function<void()> m_onDone;
  };

  // Runs the user's callback and closes the connection from a separate event: a
  // connection isn't destroyed inside its own callback, and LogService must not
  // call back from within a call to it.
  static void OnCleanup(evutil_socket_t, short, void* aArgument)
  {
    auto* self = static_cast<Impl*>(aArgument);
    for (auto& call : self->RemoveFinished()) {
      call->CloseConnection();
      self->AdaptTimeout(call->answer);
      call->callback(call->answer);
    }
  }

  void AdaptTimeout(const HttpAnswer& aAnswer)
  {
    if (aAnswer.sent && aAnswer.status == 0) {
      m_timeout = std::min(m_options.maxTimeout, 2 * m_timeout);
    } else {
      m_timeout =
        std::max(m_options.timeout, m_timeout - m_timeout / kTimeoutDecay);
    }
  }

  std::vector<std::shared_ptr<Call>> RemoveFinished()
  {
    std::vector<std::shared_ptr<Call>> finished;
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
  std::map<Call*, std::shared_ptr<Call>> m_calls;
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
  m_impl->Start("POST",
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
  m_impl->Start("GET",
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
