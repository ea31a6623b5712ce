#include "src/Ranges/GrantManager.h"

#include <algorithm>
#include <utility>

namespace pistachioshift {

namespace {

/** Time before the end of a hold in which nothing is started any more. */
constexpr Duration kServeMargin = std::chrono::milliseconds(50);

/** A shorter hold would end before the next heartbeat. */
constexpr Duration kLeastHold = std::chrono::milliseconds(300);

/** The parts of a range that lie outside another one. */
std::vector<KeyRange>
Without(const KeyRange& aRange, const KeyRange& aOut)
{
  if (!aRange.Overlaps(aOut)) {
    return { aRange };
  }
  std::vector<KeyRange> parts;
  if (aRange.first < aOut.first) {
    parts.push_back({ aRange.first, aOut.first - 1 });
  }
  if (aRange.last > aOut.last) {
    parts.push_back({ aOut.last + 1, aRange.last });
  }
  return parts;
}

}

GrantManager::GrantManager(GrantSettings aSettings, MonoTime aNow)
  : m_settings(aSettings)
  , m_holdEnds(aNow + aSettings.maxEarlierHold)
{
}

bool
GrantManager::IsStale(const ServerHeartbeat& aHeartbeat) const
{
  if (!m_incarnation) {
    return false;
  }
  if (aHeartbeat.incarnation.startedAt != m_incarnation->startedAt) {
    return aHeartbeat.incarnation.startedAt < m_incarnation->startedAt;
  }
  return aHeartbeat.incarnation == *m_incarnation &&
         aHeartbeat.sequence <= m_sequence;
}

void
GrantManager::Adopt(const ServerIncarnation& aIncarnation)
{
  if (!m_incarnation) {
    m_incarnation = aIncarnation;
  }
}

void
GrantManager::BeginIncarnation(const ServerHeartbeat& aHeartbeat)
{
  // The process before it has ended, and its holds with it.
  m_incarnation = aHeartbeat.incarnation;
  m_sequence = 0;
  m_granted.clear();
  m_leaving.clear();
  m_leavingAll = false;
  m_servesUntil = MonoTime{};
}

HeartbeatReply
GrantManager::OnHeartbeat(const ServerHeartbeat& aHeartbeat,
                          const std::vector<RangeRow>& aRows,
                          Duration aLease,
                          MonoTime aNow)
{
  HeartbeatReply reply;
  if (IsStale(aHeartbeat)) {
    return reply;
  }
  if (m_incarnation != aHeartbeat.incarnation) {
    BeginIncarnation(aHeartbeat);
  }
  m_sequence = aHeartbeat.sequence;
  if (aHeartbeat.state == ServerState::kDraining) {
    m_leavingAll = true;
  }
  if (m_leavingAll) {
    for (const auto& row : aRows) {
      Leave(row.range, row.fence, std::nullopt);
    }
  }
  CollectReleased(aHeartbeat);
  ForgetReassigned(aRows);
  const auto drift = 1.0 + 2.0 * m_settings.clockDrift;
  const auto safe =
    std::chrono::duration_cast<Duration>(std::max(aLease, Duration{}) / drift);
  reply.holdTime = std::min(m_settings.holdTime, safe);
  if (reply.holdTime < kLeastHold) {
    return reply;
  }
  reply.renews = true;
  reply.ranges = Grants(aRows);
  for (auto& leaving : m_leaving) {
    leaving.omitted = true;
  }
  m_granted = reply.ranges;
  m_servesUntil = aNow + reply.holdTime - kServeMargin;
  const auto longest =
    std::chrono::duration_cast<Duration>(reply.holdTime * drift);
  m_holdEnds = std::max(m_holdEnds, aNow + longest);
  return reply;
}

std::vector<GrantedRange>
GrantManager::Grants(const std::vector<RangeRow>& aRows) const
{
  std::vector<GrantedRange> grants;
  for (const auto& row : aRows) {
    for (const auto& part : NotLeaving(row.range, row.fence)) {
      grants.push_back(GrantedRange{ part, row.fence, row.handover });
    }
  }
  return grants;
}

std::vector<KeyRange>
GrantManager::NotLeaving(const KeyRange& aRange, Fence aFence) const
{
  std::vector<KeyRange> parts{ aRange };
  for (const auto& leaving : m_leaving) {
    if (leaving.fence != aFence) {
      continue;
    }
    std::vector<KeyRange> rest;
    for (const auto& part : parts) {
      const auto kept = Without(part, leaving.range);
      rest.insert(rest.end(), kept.begin(), kept.end());
    }
    parts = std::move(rest);
  }
  return parts;
}

void
GrantManager::Leave(const KeyRange& aRange,
                    Fence aFence,
                    const std::optional<RangeHolder>& aNext)
{
  for (const auto& part : NotLeaving(aRange, aFence)) {
    m_leaving.push_back(Leaving{ part, aFence, aNext });
  }
}

void
GrantManager::Lapse(const std::vector<RangeRow>& aRows)
{
  m_granted.clear();
  m_leaving.clear();
  for (const auto& row : aRows) {
    Leaving leaving{ row.range, row.fence, std::nullopt };
    leaving.released = true;
    m_leaving.push_back(leaving);
    m_relinquished.push_back(
      Relinquished{ row.range, row.fence, {}, std::nullopt });
  }
}

void
GrantManager::CollectReleased(const ServerHeartbeat& aHeartbeat)
{
  if (!aHeartbeat.holds) {
    return;
  }
  const auto& holds = *aHeartbeat.holds;
  const auto stillHeld = [&](const Leaving& aLeaving) {
    return std::any_of(holds.begin(), holds.end(), [&](const HeldRange& aHeld) {
      return aHeld.range.Overlaps(aLeaving.range);
    });
  };
  for (auto& leaving : m_leaving) {
    if (leaving.omitted && !leaving.released && !stillHeld(leaving)) {
      Relinquish(leaving, aHeartbeat.released);
      leaving.released = true;
    }
  }
}

void
GrantManager::ForgetReassigned(const std::vector<RangeRow>& aRows)
{
  std::erase_if(m_leaving, [&](const Leaving& aItem) {
    return std::none_of(aRows.begin(), aRows.end(), [&](const RangeRow& aRow) {
      return aRow.fence == aItem.fence && aRow.range.Overlaps(aItem.range);
    });
  });
}

void
GrantManager::Relinquish(const Leaving& aLeaving,
                         const std::vector<ReleasedRange>& aReleased)
{
  std::vector<KeyRange> rest{ aLeaving.range };
  for (const auto& released : aReleased) {
    std::vector<KeyRange> left;
    for (const auto& part : rest) {
      if (!part.Overlaps(released.range)) {
        left.push_back(part);
        continue;
      }
      m_relinquished.push_back(Relinquished{ part.Common(released.range),
                                             aLeaving.fence,
                                             released.handover,
                                             aLeaving.next });
      const auto outside = Without(part, released.range);
      left.insert(left.end(), outside.begin(), outside.end());
    }
    rest = std::move(left);
  }
  for (const auto& part : rest) {
    m_relinquished.push_back(
      Relinquished{ part, aLeaving.fence, {}, aLeaving.next });
  }
}

bool
GrantManager::IsLeaving(ShardKey aKey) const
{
  return m_leavingAll ||
         std::any_of(m_leaving.begin(), m_leaving.end(), [&](const auto& aOne) {
           return aOne.range.Contains(aKey);
         });
}

bool
GrantManager::MayServe(ShardKey aKey, MonoTime aNow) const
{
  if (aNow >= m_servesUntil) {
    return false;
  }
  return std::any_of(
    m_granted.begin(), m_granted.end(), [&](const GrantedRange& aItem) {
      return aItem.range.Contains(aKey);
    });
}

std::vector<Relinquished>
GrantManager::TakeRelinquished()
{
  return std::exchange(m_relinquished, {});
}

bool
HandOn(RangeTable& aTable,
       const MeshState& aState,
       const ServiceName& aService,
       const RangeHolder& aHolder,
       const std::vector<Relinquished>& aRanges)
{
  bool changed = false;
  for (const auto& item : aRanges) {
    const auto rows = aTable.RowsOf(aService);
    for (const auto& row : rows) {
      // Under a higher fence the range has come back since.
      if (row.holder != aHolder || row.fence != item.fence ||
          !row.range.Overlaps(item.range)) {
        continue;
      }
      const auto part = row.range.Common(item.range);
      const auto* next = item.next ? aState.FindHost(item.next->host) : nullptr;
      if (next != nullptr && aState.CanTake(*next) &&
          next->server->incarnation == item.next->incarnation) {
        aTable.Assign(aService, part, *item.next, item.handover);
      } else {
        aTable.Free(aService, part, item.handover);
      }
      changed = true;
    }
  }
  return changed;
}

}
