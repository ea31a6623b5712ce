#include "src/HostDaemon/LaggingPeers.h"

namespace pistachioshift {

namespace {

using std::chrono::milliseconds;

/** Two reports. A broadcast takes less, and a host that learns of a later
 * position from a report reads it from the store in that time. */
constexpr Duration kMaxLag = milliseconds(900);

/** Time of one report from each host. */
constexpr Duration kInterval = milliseconds(500);
constexpr uint32_t kMaxSentInInterval = 4;

}

bool
LaggingPeers::OnReport(const HostName& aPeer,
                       const StorePosition& aPosition,
                       const StorePosition& aOwn,
                       MonoTime aNow)
{
  if (aPosition >= aOwn) {
    m_lags.erase(aPeer);
    return false;
  }
  const auto [found, added] = m_lags.try_emplace(aPeer, Lag{ aOwn, aNow });
  auto& lag = found->second;
  if (added || aPosition >= lag.lacks) {
    lag = Lag{ aOwn, aNow };
    return false;
  }
  if (aNow - lag.since < kMaxLag || !MaySend(aNow)) {
    return false;
  }
  lag = Lag{ aOwn, aNow };
  return true;
}

bool
LaggingPeers::MaySend(MonoTime aNow)
{
  if (aNow - m_intervalBegin >= kInterval) {
    m_intervalBegin = aNow;
    m_sentInInterval = 0;
  }
  if (m_sentInInterval >= kMaxSentInInterval) {
    return false;
  }
  ++m_sentInInterval;
  return true;
}

}
