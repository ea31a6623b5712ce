#include <utility>

#include "src/HostDaemon/RangeServerTask.h"

namespace pistachioshift {

namespace {

using std::chrono::milliseconds;

/** Time for an answer, and between two checks. A busy server lets a check wait
 * like any other request. */
constexpr Duration kCheckInterval = milliseconds(1000);

/** Checks without a heartbeat in between. A server that sends none is gone, or
 * has left. */
constexpr uint32_t kMaxChecks = 4;

}

/** Reads the answer to one check. */
class RangeServerTask::HealthCheck : public ClientListener
{
public:
  explicit HealthCheck(RangeServerTask& aTask)
    : m_task(aTask)
  {
  }

  void OnHead(const ResponseHead& aHead) override { m_head = aHead; }
  void OnBody(std::string_view) override {}
  void OnEnd() override { m_task.OnHealthChecked(m_head); }
  void OnDrained() override {}
  void OnFailed(ClientFailure) override {}

private:
  RangeServerTask& m_task;
  ResponseHead m_head;
};

void
RangeServerTask::SetHealthPath(std::string aPath)
{
  m_healthPath = std::move(aPath);
  m_pace.SetHealthChecks(!m_healthPath.empty());
  CheckHealth();
}

/**
 * After a restart, asks the server whether it runs. Its answer is newer than
 * whatever an earlier process has acknowledged, which a heartbeat need not be.
 */
void
RangeServerTask::CheckHealth()
{
  const bool needed = m_serverId && !m_presence.Proven() &&
                      !m_presence.Left() && !m_exitAt &&
                      m_evacuation.TakesKeys();
  if (!needed || m_healthPath.empty() || m_healthTimer.Running() ||
      m_healthChecks >= kMaxChecks) {
    return;
  }
  ++m_healthChecks;
  m_healthAskedAt = m_clock.Now();
  RequestHead head;
  head.method = "GET";
  head.target = m_healthPath;
  m_healthExchange = m_pool.Start(head, std::make_shared<HealthCheck>(*this));
  m_healthExchange->Finish();
  m_healthTimer.StartOnce(kCheckInterval);
}

/** The answer to a check that was sent before proves nothing any more. */
void
RangeServerTask::CancelHealthCheck()
{
  m_healthTimer.Stop();
  if (const auto exchange = std::exchange(m_healthExchange, nullptr)) {
    exchange->Cancel();
  }
}

void
RangeServerTask::OnHealthTimer()
{
  CancelHealthCheck();
  CheckHealth();
}

void
RangeServerTask::OnHealthChecked(const ResponseHead& aAnswer)
{
  m_healthExchange.reset();
  const bool healthy =
    m_serverId && m_dialect.ReadHealth(aAnswer) == *m_serverId;
  if (!healthy || m_presence.Left() || m_presence.Proven()) {
    return;
  }
  m_logger.Info("server-healthy", "server={}", m_serverId->Value());
  m_healthTimer.Stop();
  m_presence.OnHealthy();
  OnColdChecked(aAnswer, m_healthAskedAt);
  RetryHeldCalls();
}

}
