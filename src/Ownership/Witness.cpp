#include "src/Ownership/Witness.h"

#include <algorithm>
#include <set>

namespace pistachioshift::internal {

namespace {

// Bounds the exponential backoff of silence reports: during a log outage a lost
// leaseholder may stay a member for hours.
constexpr Duration kMaxReportInterval = std::chrono::seconds(5);

}

Witness::Witness(DaemonId aSelf, const NodeSettings& aSettings, MonoTime aNow)
  : m_self(aSelf)
  , m_settings(aSettings)
  , m_lastTick(aNow)
{
}

void
Witness::Sync(const OwnershipView& aView, MonoTime aNow)
{
  const auto& leaseholders = aView.LeaseholdersOf(m_self);
  for (const auto leaseholder : leaseholders) {
    if (aView.FindMember(leaseholder) == nullptr) {
      continue;
    }
    const auto& sets = *aView.FindWitnesses(leaseholder);
    const bool pending = sets.pending && sets.pending->Contains(m_self);
    const auto since = pending ? sets.pending->offset : sets.current.offset;
    const auto [watch, added] = m_watches.try_emplace(leaseholder);
    if (added) {
      watch->second.lastHeard = aNow;
      watch->second.version = since;
    }
  }
  std::erase_if(m_watches, [&](const auto& aWatch) {
    // A seal is permanent, even if this daemon becomes its witness again.
    const bool member = aView.FindMember(aWatch.first) != nullptr;
    const bool needed =
      leaseholders.contains(aWatch.first) || aWatch.second.sealed;
    return !(member && needed) && aView.EntriesOf(aWatch.first).empty();
  });
}

std::optional<RenewAck>
Witness::OnRenew(DaemonId aLeaseholder,
                 const Renew& aRenew,
                 bool aFirm,
                 MonoTime aNow)
{
  ResetSilencesAfterPause(aNow);
  const auto found = m_watches.find(aLeaseholder);
  if (found == m_watches.end()) {
    return std::nullopt;
  }
  auto& watch = found->second;
  RenewAck ack{ aRenew.sequence, watch.version, false, true, {} };
  if (watch.sealed) {
    return ack;
  }
  watch.lastHeard = std::max(watch.lastHeard, aNow);
  watch.version = std::max(watch.version, aRenew.version);
  watch.reportInterval = Duration();
  ack.version = watch.version;
  ack.firm = aFirm;
  ack.sealed = false;
  return ack;
}

std::optional<SealReply>
Witness::OnSealRequest(DaemonId aLeaseholder, MonoTime aNow)
{
  ResetSilencesAfterPause(aNow);
  const auto found = m_watches.find(aLeaseholder);
  if (found == m_watches.end()) {
    return std::nullopt;
  }
  auto& watch = found->second;
  const bool silent =
    IsSilent(watch, aNow) || m_settings.mutation == Mutation::kSealAtOnce;
  if (!watch.sealed && !silent) {
    return std::nullopt;
  }
  watch.sealed = true;
  return SealReply{ aLeaseholder, watch.version };
}

std::vector<DaemonId>
Witness::OnTick(MonoTime aNow)
{
  ResetSilencesAfterPause(aNow);
  std::vector<DaemonId> silent;
  for (auto& [leaseholder, watch] : m_watches) {
    if (!watch.sealed && !IsSilent(watch, aNow)) {
      continue;
    }
    if (watch.reportInterval == Duration()) {
      watch.reportInterval = m_settings.retryInterval;
    } else if (aNow < watch.nextReport) {
      continue;
    } else {
      watch.reportInterval =
        std::min(2 * watch.reportInterval, kMaxReportInterval);
    }
    watch.nextReport = aNow + watch.reportInterval;
    silent.push_back(leaseholder);
  }
  return silent;
}

std::vector<DaemonId>
Witness::ReportRecipients(const OwnershipView& aView,
                          DaemonId aLeaseholder) const
{
  std::set<DaemonId> recipients;
  for (const auto& key : aView.EntriesOf(aLeaseholder)) {
    for (const auto& entry : aView.FindChain(key)->entries) {
      recipients.insert(entry.holders.begin(), entry.holders.end());
    }
  }
  if (const auto* sets = aView.FindWitnesses(aLeaseholder)) {
    const auto& current = sets->current.witnesses;
    recipients.insert(current.begin(), current.end());
  }
  recipients.erase(aLeaseholder);
  std::erase_if(recipients, [&](DaemonId aDaemon) {
    return aView.FindMember(aDaemon) == nullptr;
  });
  return { recipients.begin(), recipients.end() };
}

bool
Witness::IsSilent(const WatchedLease& aWatch, MonoTime aNow) const
{
  return aNow - aWatch.lastHeard > m_settings.SealTimeout();
}

void
Witness::ResetSilencesAfterPause(MonoTime aNow)
{
  // After a pause or a clock jump, renewals may have arrived but not been read.
  if (aNow - m_lastTick > m_settings.maxTickGap) {
    for (auto& [leaseholder, watch] : m_watches) {
      watch.lastHeard = std::max(watch.lastHeard, aNow);
    }
  }
  m_lastTick = std::max(m_lastTick, aNow);
}

}
