#include "src/Ranges/AcknowledgedLeaves.h"

#include <algorithm>

namespace pistachioshift {

namespace {

/** Server ids whose leaves are kept; a host runs one server at a time. */
constexpr size_t kMaxServers = 32;

}

void
AcknowledgedLeaves::Add(ServerLeave aLeave, WallTime aNow)
{
  if (aLeave.startedBy == WallTime::max()) {
    aLeave.startedBy = aNow;
  }
  const auto known = std::find_if(
    m_leaves.begin(), m_leaves.end(), [&](const ServerLeave& aItem) {
      return aItem.id == aLeave.id;
    });
  if (known != m_leaves.end()) {
    // A late leave of an earlier incarnation does not undo a later one.
    aLeave.startedBy = std::max(aLeave.startedBy, known->startedBy);
    m_leaves.erase(known);
  }
  m_leaves.push_back(aLeave);
  if (m_leaves.size() > kMaxServers) {
    m_dropped = true;
    m_leaves.erase(m_leaves.begin());
  }
}

LeaveVerdict
AcknowledgedLeaves::VerdictOn(const ServerIncarnation& aIncarnation) const
{
  const auto known = std::find_if(
    m_leaves.begin(), m_leaves.end(), [&](const ServerLeave& aLeave) {
      return aLeave.id == aIncarnation.id;
    });
  if (known == m_leaves.end()) {
    return m_dropped ? LeaveVerdict::kPossible : LeaveVerdict::kNone;
  }
  return known->Concerns(aIncarnation) ? LeaveVerdict::kLeft
                                       : LeaveVerdict::kPossible;
}

}
