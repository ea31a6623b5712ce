#include "src/Ranges/GrantManager.h"

#include <algorithm>
#include <utility>

namespace pistachioshift {

namespace {

/** Time before the end of a hold in which no new request is started. */
constexpr Duration kServeMargin = std::chrono::milliseconds(50);

/** A shorter hold would end before the next heartbeat. */
constexpr Duration kMinHoldTime = std::chrono::milliseconds(300);

/** Parts of aRange that are not in aRemoved. */
std::vector<KeyRange>
Subtract(const KeyRange& aRange, const KeyRange& aRemoved)
{
  if (!aRange.Overlaps(aRemoved)) {
    return { aRange };
  }
  std::vector<KeyRange> parts;
  if (aRange.first < aRemoved.first) {
    parts.push_back({ aRange.first, aRemoved.first - 1 });
  }
  if (aRange.last > aRemoved.last) {
    parts.push_back({ aRemoved.last + 1, aRange.last });
  }
  return parts;
}

/** A higher fence means that the holder got the range back since. */
bool
AssignsReleased(const RangeRow& aRow,
                const RangeHolder& aHolder,
                const Relinquished& aItem)
{
  return !aRow.unconfirmed && aRow.holder == aHolder &&
         aRow.fence == aItem.fence && aRow.range.Overlaps(aItem.range);
}

}

GrantManager::GrantManager(GrantSettings aSettings, MonoTime aNow)
  : m_settings(aSettings)
  , m_holdsExpireAt(aNow + aSettings.maxEarlierHold)
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
  return aHeartbeat.incarnation != *m_incarnation ||
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
  // The previous process has ended, and its holds with it.
  m_incarnation = aHeartbeat.incarnation;
  m_sequence = 0;
  m_granted.clear();
  m_revocations.clear();
  m_revokingAll = false;
  m_serveUntil = MonoTime{};
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
    m_revokingAll = true;
  }
  if (m_revokingAll || m_evacuating) {
    for (const auto& row : aRows) {
      Revoke(row.range, row.fence, std::nullopt);
    }
  }
  CollectReleased(aHeartbeat);
  RemoveReassigned(aRows);
  const auto drift = 1.0 + 2.0 * m_settings.clockDrift;
  const auto safeHoldTime =
    std::chrono::duration_cast<Duration>(std::max(aLease, Duration{}) / drift);
  reply.holdTime = std::min(m_settings.holdTime, safeHoldTime);
  if (reply.holdTime < kMinHoldTime) {
    return reply;
  }
  reply.renews = true;
  reply.ranges = Grants(aRows);
  for (auto& revocation : m_revocations) {
    revocation.omitted = true;
  }
  m_granted = reply.ranges;
  m_serveUntil = aNow + reply.holdTime - kServeMargin;
  const auto maxHoldTime =
    std::chrono::duration_cast<Duration>(reply.holdTime * drift);
  m_holdsExpireAt = std::max(m_holdsExpireAt, aNow + maxHoldTime);
  return reply;
}

std::vector<GrantedRange>
GrantManager::Grants(const std::vector<RangeRow>& aRows) const
{
  std::vector<GrantedRange> grants;
  for (const auto& row : aRows) {
    if (row.unconfirmed) {
      continue;
    }
    for (const auto& part : WithoutRevoked(row.range, row.fence)) {
      grants.push_back(GrantedRange{ part, row.fence, row.handover });
    }
  }
  return grants;
}

std::vector<KeyRange>
GrantManager::WithoutRevoked(const KeyRange& aRange, Fence aFence) const
{
  std::vector<KeyRange> parts{ aRange };
  for (const auto& revocation : m_revocations) {
    if (revocation.fence != aFence) {
      continue;
    }
    std::vector<KeyRange> rest;
    for (const auto& part : parts) {
      const auto kept = Subtract(part, revocation.range);
      rest.insert(rest.end(), kept.begin(), kept.end());
    }
    parts = std::move(rest);
  }
  return parts;
}

std::vector<ClaimedRange>
GrantManager::Claims(const std::vector<RangeRow>& aRows) const
{
  std::vector<ClaimedRange> claims;
  for (const auto& row : aRows) {
    if (row.unconfirmed) {
      continue;
    }
    std::vector<KeyRange> held{ row.range };
    for (const auto& item : m_revocations) {
      if (!item.released || item.fence != row.fence) {
        continue;
      }
      std::vector<KeyRange> rest;
      for (const auto& part : held) {
        const auto kept = Subtract(part, item.range);
        rest.insert(rest.end(), kept.begin(), kept.end());
      }
      held = std::move(rest);
    }
    for (const auto& part : held) {
      claims.push_back(ClaimedRange{ part, row.fence, row.handover });
    }
  }
  return claims;
}

std::vector<Relinquished>
GrantManager::RelinquishedAmong(const std::vector<RangeRow>& aRows) const
{
  std::vector<Relinquished> ranges;
  for (const auto& item : m_revocations) {
    const bool assigned =
      std::any_of(aRows.begin(), aRows.end(), [&](const RangeRow& aRow) {
        return !aRow.unconfirmed && aRow.fence == item.fence &&
               aRow.range.Overlaps(item.range);
      });
    if (item.released && assigned) {
      ranges.push_back(Relinquished{ item.range, item.fence, {}, item.next });
    }
  }
  return ranges;
}

void
GrantManager::Revoke(const KeyRange& aRange,
                     Fence aFence,
                     const std::optional<RangeHolder>& aNext)
{
  for (const auto& part : WithoutRevoked(aRange, aFence)) {
    m_revocations.push_back(Revocation{ part, aFence, aNext });
  }
}

void
GrantManager::RelinquishExpired(const std::vector<RangeRow>& aRows)
{
  m_granted.clear();
  m_revocations.clear();
  for (const auto& row : aRows) {
    Revocation revocation{ row.range, row.fence, std::nullopt };
    revocation.released = true;
    m_revocations.push_back(revocation);
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
  const auto stillHeld = [&](const Revocation& aRevocation) {
    return std::any_of(holds.begin(), holds.end(), [&](const HeldRange& aHeld) {
      return aHeld.range.Overlaps(aRevocation.range);
    });
  };
  for (auto& revocation : m_revocations) {
    if (revocation.omitted && !revocation.released && !stillHeld(revocation)) {
      Relinquish(revocation, aHeartbeat.released);
      revocation.released = true;
    }
  }
}

void
GrantManager::RemoveReassigned(const std::vector<RangeRow>& aRows)
{
  std::erase_if(m_revocations, [&](const Revocation& aItem) {
    return std::none_of(aRows.begin(), aRows.end(), [&](const RangeRow& aRow) {
      return aRow.fence == aItem.fence && aRow.range.Overlaps(aItem.range);
    });
  });
}

void
GrantManager::Relinquish(const Revocation& aRevocation,
                         const std::vector<ReleasedRange>& aReleased)
{
  std::vector<KeyRange> rest{ aRevocation.range };
  for (const auto& released : aReleased) {
    std::vector<KeyRange> left;
    for (const auto& part : rest) {
      if (!part.Overlaps(released.range)) {
        left.push_back(part);
        continue;
      }
      m_relinquished.push_back(Relinquished{ part.Intersection(released.range),
                                             aRevocation.fence,
                                             released.handover,
                                             aRevocation.next });
      const auto outside = Subtract(part, released.range);
      left.insert(left.end(), outside.begin(), outside.end());
    }
    rest = std::move(left);
  }
  for (const auto& part : rest) {
    m_relinquished.push_back(
      Relinquished{ part, aRevocation.fence, {}, aRevocation.next });
  }
}

bool
GrantManager::IsRevoking(ShardKey aKey) const
{
  return m_revokingAll || m_evacuating ||
         std::any_of(
           m_revocations.begin(), m_revocations.end(), [&](const auto& aItem) {
             return aItem.range.Contains(aKey);
           });
}

bool
GrantManager::MayServe(ShardKey aKey, MonoTime aNow) const
{
  if (aNow >= m_serveUntil) {
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
ReassignRelinquished(RangeTable& aTable,
                     const MeshState& aState,
                     const RangeRelease& aRelease)
{
  const auto* sender = aState.FindHost(aRelease.holder.host);
  if (aRelease.epoch &&
      (sender == nullptr || sender->epoch != *aRelease.epoch)) {
    return false;
  }
  bool changed = false;
  for (const auto& item : aRelease.ranges) {
    const auto rows = aTable.RowsOf(aRelease.service);
    for (const auto& row : rows) {
      if (!AssignsReleased(row, aRelease.holder, item)) {
        continue;
      }
      const auto part = row.range.Intersection(item.range);
      const auto* next = item.next ? aState.FindHost(item.next->host) : nullptr;
      if (next != nullptr && aState.CanTakeKeys(*next) &&
          next->server->incarnation == item.next->incarnation) {
        aTable.Assign(aRelease.service, part, *item.next, item.handover);
      } else {
        aTable.Free(aRelease.service, part, item.handover);
      }
      changed = true;
    }
  }
  return changed;
}

bool
HoldsReleased(const RangeTable& aTable, const RangeRelease& aRelease)
{
  const auto& rows = aTable.RowsOf(aRelease.service);
  return std::any_of(
    aRelease.ranges.begin(), aRelease.ranges.end(), [&](const auto& aItem) {
      return std::any_of(rows.begin(), rows.end(), [&](const RangeRow& aRow) {
        return AssignsReleased(aRow, aRelease.holder, aItem);
      });
    });
}

}
