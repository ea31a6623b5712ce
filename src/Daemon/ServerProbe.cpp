#include "src/Daemon/ServerProbe.h"

#include <nlohmann/json.hpp>

namespace pistachioshift {

namespace {

constexpr uint32_t kFailuresToNotReady = 3;
constexpr size_t kMaxBodyBytes = size_t{ 64 } * 1024;
constexpr int kStatusOk = 200;

HttpClientLimits
ProbeLimits()
{
  HttpClientLimits limits;
  limits.maxConnections = 2;
  limits.connectTimeout = std::chrono::milliseconds(500);
  limits.silenceTimeout = std::chrono::seconds(1);
  limits.answerTimeout = std::chrono::seconds(2);
  limits.maxBodyBytes = kMaxBodyBytes;
  limits.maxUndeclaredBodyBytes = kMaxBodyBytes;
  return limits;
}

}

/** Collects a response body. */
class ServerProbe::ResponseCollector : public ClientListener
{
public:
  using Callback = std::function<void(bool, const std::string&)>;

  explicit ResponseCollector(Callback aCallback)
    : m_callback(std::move(aCallback))
  {
  }

  void OnHead(const ResponseHead& aHead) override { m_status = aHead.status; }

  void OnBody(std::string_view aData) override { m_body.append(aData); }

  void OnEnd() override { m_callback(m_status == kStatusOk, m_body); }
  void OnDrained() override {}
  void OnFailed(ClientFailure) override { m_callback(false, m_body); }

private:
  Callback m_callback;
  int m_status = 0;
  std::string m_body;
};

ServerProbe::ServerProbe(event_base* aBase,
                         const Clock& aClock,
                         const ServerSettings& aSettings)
  : m_clock(aClock)
  , m_settings(aSettings)
  , m_pool(aBase, aSettings.endpoint, ProbeLimits())
  , m_timer(aBase, [this] { Poll(); })
{
}

void
ServerProbe::Start(ReadyCallback aCallback)
{
  m_callback = std::move(aCallback);
  m_timer.StartEvery(m_settings.healthInterval);
  Poll();
}

void
ServerProbe::Get(const std::string& aTarget,
                 std::function<void(bool, const std::string&)> aCallback)
{
  RequestHead head;
  head.method = "GET";
  head.target = aTarget;
  const auto collector =
    std::make_shared<ResponseCollector>(std::move(aCallback));
  m_pool.Start(head, collector)->Finish();
}

void
ServerProbe::Poll()
{
  if (m_pollPending) {
    return;
  }
  m_pollPending = true;
  Get("/health", [this](bool aHealthy, const std::string&) {
    m_pollPending = false;
    OnHealth(aHealthy);
  });
}

void
ServerProbe::OnHealth(bool aHealthy)
{
  m_failures = aHealthy ? 0 : m_failures + 1;
  // A single late or lost response is no reliable sign of a failure, and the
  // probe learns of failures late anyway.
  const bool ready =
    m_failures == 0 || (m_ready && m_failures < kFailuresToNotReady);
  if (ready != m_ready) {
    m_ready = ready;
    m_callback(ready);
  }
  if (aHealthy) {
    Get("/load", [this](bool aGood, const std::string& aBody) {
      if (aGood) {
        OnLoad(aBody);
      }
    });
  }
}

void
ServerProbe::OnLoad(const std::string& aBody)
{
  const auto json = nlohmann::json::parse(aBody, nullptr, false);
  if (!json.is_object()) {
    return;
  }
  m_load.inFlight = json.value("inflight", 0U);
  m_load.slots = json.value("slots", 0U);
  m_load.draining = json.value("draining", false);
  m_load.at = m_clock.Now();
}

}
