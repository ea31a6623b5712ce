#include "src/HostDaemon/ServerEndMonitor.h"

#include <algorithm>
#include <string>
#include <utility>

#include "src/Base/Hash.h"

namespace pistachioshift {

namespace {

/** All connections of a process are lost at its end, and are read within this
 * time. Earlier losses have another cause. */
constexpr Duration kLossSpan = std::chrono::milliseconds(500);

/** Above the concurrent requests of any backend server. */
constexpr size_t kMaxLosses = 256;

uint64_t
IdOf(const ServerIncarnation& aIncarnation)
{
  const auto started = aIncarnation.startedAt.time_since_epoch().count();
  return HashKey(aIncarnation.id.Value() + '/' + std::to_string(started));
}

}

void
ServerEndMonitor::OnUnanswered(RequestFingerprint aRequest, MonoTime aNow)
{
  std::erase_if(m_losses, [&](const Loss& aLoss) {
    return aLoss.at < aNow - kLossSpan || aLoss.request == aRequest;
  });
  if (m_losses.size() < kMaxLosses) {
    m_losses.push_back(Loss{ aRequest, aNow });
  }
}

void
ServerEndMonitor::OnAnswered(MonoTime aStartedAt)
{
  std::erase_if(m_losses,
                [&](const Loss& aLoss) { return aLoss.at < aStartedAt; });
}

std::optional<ServerEndRecord>
ServerEndMonitor::OnEndProven(const ServerIncarnation& aIncarnation)
{
  if (m_losses.empty()) {
    return std::nullopt;
  }
  ServerEndRecord end;
  end.id = IdOf(aIncarnation);
  for (const auto& loss : std::exchange(m_losses, {})) {
    end.running.push_back(loss.request);
  }
  return end;
}

}
