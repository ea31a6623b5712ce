#include "src/Ownership/NodeImpl.h"

#include <algorithm>

namespace pistachioshift {

Node::Impl::Impl(DaemonId aSelf,
                 OwnershipView aView,
                 NodeSettings aSettings,
                 RandomEngine aRandom,
                 MonoTime aNow)
  : self(aSelf)
  , view(std::move(aView))
  , leaseholder(aSelf, aSettings)
  , m_settings(aSettings)
  , m_random(aRandom)
  , m_witness(aSelf, aSettings, aNow)
  , m_evidence(aSettings)
  , m_holdings(aSelf)
  , m_leave(aSelf, aSettings)
  , m_removal(aSelf, aSettings)
  , m_lastTick(aNow)
{
  applied.ownership = view.Applied();
  m_witness.Sync(view, aNow);
  leaseholder.Sync(view);
  for (const auto& [daemon, gone] : view.Gone()) {
    OnDaemonGone(daemon, aNow);
  }
  for (const auto& key : view.EntriesOf(self)) {
    OnEntryChanged(key, view.FindChain(key)->Current().offset);
  }
}

Verdict
Node::Impl::OnRecord(Offset aOffset,
                     const OwnershipRecord& aRecord,
                     MonoTime aNow)
{
  const auto before = view.Applied();
  auto verdict = view.Apply(aOffset, aRecord);
  if (verdict.refusal == Refusal::kOldOffset) {
    return verdict;
  }
  applied.ownership = view.Applied();
  const bool pins = std::holds_alternative<PinRecord>(aRecord);
  for (const auto& key : verdict.changed) {
    if (pins && m_holdings.SplitPin(key, view)) {
      const auto& token = m_holdings.Find(key)->token;
      m_unrecorded.push_back({ key, token.entry, token.rank });
      m_flushHeldAt =
        std::min(m_flushHeldAt, aNow + m_settings.heldBatchWindow);
      AnnouncePin(key);
    }
    OnEntryChanged(key, aOffset);
  }
  if (verdict.Accepted()) {
    OnMembershipRecord(aRecord, aNow);
  }
  for (const auto daemon : m_evidence.CountableSince(before, aOffset)) {
    MarkEntriesDirty(daemon);
    m_removal.OnSealed(view, m_evidence, daemon, aNow);
  }
  Adopt(aNow);
  EvaluateDirty(aNow);
  return verdict;
}

void
Node::Impl::AnnouncePin(const EntryKey& aPin)
{
  const auto& holding = *m_holdings.Find(aPin);
  effects.emplace_back(EntryStarted{ aPin, holding.token, holding.notBefore });
  if (holding.stopping) {
    effects.emplace_back(
      EntryStopping{ aPin, holding.token, NextHolder(aPin) });
  }
}

void
Node::Impl::OnMembershipRecord(const OwnershipRecord& aRecord, MonoTime aNow)
{
  if (const auto* join = std::get_if<JoinRecord>(&aRecord)) {
    if (join->previous) {
      OnDaemonGone(*join->previous, aNow);
    }
  } else if (const auto* gone = std::get_if<GoneRecord>(&aRecord)) {
    OnDaemonGone(gone->daemon, aNow);
  } else if (const auto* retire = std::get_if<RetireRecord>(&aRecord)) {
    OnDaemonGone(retire->leaseholder, aNow);
  } else if (const auto* set = std::get_if<WitnessSetRecord>(&aRecord)) {
    MarkEntriesDirty(set->leaseholder);
  } else if (const auto* to = std::get_if<WitnessSetSwitchedRecord>(&aRecord)) {
    MarkEntriesDirty(to->leaseholder);
  } else {
    return;
  }
  m_witness.Sync(view, aNow);
  leaseholder.Sync(view);
}

void
Node::Impl::OnDaemonGone(DaemonId aDaemon, MonoTime aNow)
{
  const auto* gone = view.FindGone(aDaemon);
  if (gone == nullptr) {
    return;
  }
  if (gone->cause == GoneCause::kRetired) {
    m_evidence.OnRetired(aDaemon, aNow);
  }
  m_removal.OnGone(view, aDaemon, aNow);
  m_evidence.Prune(view);
  MarkEntriesDirty(aDaemon);
}

void
Node::Impl::OnEntryChanged(const EntryKey& aKey, Offset aOffset)
{
  const EntryKey range{ aKey.service, aKey.range, {} };
  const auto& ownKeys = view.EntriesOf(self);
  const bool held =
    m_holdings.Find(aKey) != nullptr || m_holdings.Find(range) != nullptr;
  if (!held && !ownKeys.contains(aKey)) {
    return;
  }
  m_dirty.insert(aKey);
  if (leaseholder.Adopted() < aOffset) {
    m_unadopted.emplace(aOffset, aKey);
    const auto* chain = view.FindChain(aKey);
    if (held || chain->Current().holders.front() == self) {
      leaseholder.RenewOnNextTick();
    }
  }
}

void
Node::Impl::MarkEntriesDirty(DaemonId aDaemon)
{
  const auto& ownKeys = view.EntriesOf(self);
  for (const auto& key : view.EntriesOf(aDaemon)) {
    if (ownKeys.contains(key)) {
      m_dirty.insert(key);
    }
  }
}

void
Node::Impl::UpdatePeerOffsets(const AppliedOffsets& aApplied)
{
  peerOffsets.ownership = std::max(peerOffsets.ownership, aApplied.ownership);
  peerOffsets.document = std::max(peerOffsets.document, aApplied.document);
}

void
Node::Impl::OnMessage(DaemonId aFrom,
                      const ControlMessage& aMessage,
                      MonoTime aNow)
{
  std::visit([&](const auto& aTyped) { Handle(aFrom, aTyped, aNow); },
             aMessage);
  EvaluateDirty(aNow);
}

void
Node::Impl::Handle(DaemonId aFrom, const Renew& aRenew, MonoTime aNow)
{
  UpdatePeerOffsets(aRenew.applied);
  // A daemon that has left or lost its lease must not support others' leases.
  if (!IsActive()) {
    return;
  }
  const bool firm = aNow < leaseholder.PlainLeaseEnd();
  if (auto ack = m_witness.OnRenew(aFrom, aRenew, firm, aNow)) {
    ack->applied = applied;
    Send(aFrom, *ack);
  }
}

void
Node::Impl::Handle(DaemonId aFrom, const RenewAck& aAck, MonoTime aNow)
{
  UpdatePeerOffsets(aAck.applied);
  leaseholder.OnAck(aFrom, aAck, aNow);
  Adopt(aNow);
}

void
Node::Impl::Handle(DaemonId aFrom, const SilenceReport& aSilence, MonoTime aNow)
{
  UpdatePeerOffsets(aSilence.applied);
  const auto witnesses =
    m_evidence.OnSilence(view, aFrom, aSilence.leaseholder, aNow);
  for (const auto witness : witnesses) {
    if (witness == self) {
      Handle(self, SealRequest{ aSilence.leaseholder }, aNow);
    } else {
      Send(witness, SealRequest{ aSilence.leaseholder });
    }
  }
}

void
Node::Impl::Handle(DaemonId aFrom, const SealRequest& aRequest, MonoTime aNow)
{
  const auto reply = m_witness.OnSealRequest(aRequest.leaseholder, aNow);
  if (!reply) {
    return;
  }
  if (aFrom == self) {
    Handle(self, *reply, aNow);
  } else {
    Send(aFrom, *reply);
  }
}

void
Node::Impl::Handle(DaemonId aFrom, const SealReply& aReply, MonoTime aNow)
{
  m_evidence.OnSeal(aFrom, aReply.leaseholder, aReply.version);
  if (view.FindWitnesses(aReply.leaseholder) != nullptr) {
    m_removal.OnSealed(view, m_evidence, aReply.leaseholder, aNow);
  }
  MarkEntriesDirty(aReply.leaseholder);
}

void
Node::Impl::Handle(DaemonId aFrom,
                   const ReleaseQuery& aQuery,
                   MonoTime /*aNow*/)
{
  ReleaseReply reply;
  for (const auto& item : aQuery.items) {
    if (m_holdings.IsReleased(item, leaseholder.Adopted(), view)) {
      reply.items.push_back(item);
    }
  }
  if (!reply.items.empty()) {
    Send(aFrom, reply);
  }
}

void
Node::Impl::Handle(DaemonId aFrom,
                   const ReleaseReply& aReply,
                   MonoTime /*aNow*/)
{
  for (const auto& item : aReply.items) {
    m_evidence.OnRelease(aFrom, item);
    m_dirty.insert(item.key);
  }
}

void
Node::Impl::OnTick(MonoTime aNow)
{
  HandleTickGap(aNow);
  SendSilenceReports(aNow);
  if (!IsActive()) {
    return;
  }
  SendRenewals(aNow);
  if (!m_leave.HasBegun()) {
    if (const auto set = leaseholder.ProposeWitnesses(view, m_random, aNow)) {
      Append(*set);
    }
  }
  for (const auto daemon : m_evidence.OnTick(aNow)) {
    MarkEntriesDirty(daemon);
  }
  for (auto& record : m_removal.OnTick(view, m_evidence, aNow)) {
    Append(std::move(record));
  }
  Adopt(aNow);
  Retry(aNow);
  EvaluateDirty(aNow);
  FlushHeld(aNow);
  ContinueLeave(aNow);
  CheckLeaseLost(aNow);
}

void
Node::Impl::HandleTickGap(MonoTime aNow)
{
  // A clock jump must not shorten waits that are under way.
  const auto gap = aNow - m_lastTick;
  if (gap > m_settings.maxTickGap) {
    m_holdings.DelayStarts(m_lastTick, gap);
    m_evidence.ExtendWaits(gap);
  }
  m_lastTick = std::max(m_lastTick, aNow);
}

void
Node::Impl::SendSilenceReports(MonoTime aNow)
{
  for (const auto silent : m_witness.OnTick(aNow)) {
    for (const auto recipient : m_witness.ReportRecipients(view, silent)) {
      if (recipient == self) {
        Handle(self, SilenceReport{ silent, applied }, aNow);
      } else {
        Send(recipient, SilenceReport{ silent, applied });
      }
    }
  }
}

void
Node::Impl::SendRenewals(MonoTime aNow)
{
  auto renewals = leaseholder.OnTick(view.Applied(), aNow);
  if (!renewals) {
    return;
  }
  renewals->renew.applied = applied;
  for (const auto witness : renewals->witnesses) {
    Send(witness, renewals->renew);
  }
}

void
Node::Impl::Retry(MonoTime aNow)
{
  if (aNow < m_nextRetry) {
    return;
  }
  m_nextRetry = aNow + m_settings.retryInterval;
  m_dirty.merge(m_retryKeys);
  m_retryKeys.clear();
}

void
Node::Impl::BeginLeave(MonoTime aNow)
{
  if (!m_leave.HasBegun()) {
    m_leave.Begin(aNow);
    Append(LeavingRecord{ self });
  }
}

void
Node::Impl::ContinueLeave(MonoTime aNow)
{
  if (!m_leave.HasBegun()) {
    return;
  }
  if (m_leave.MustStop(aNow)) {
    StopAll(aNow);
  } else {
    for (auto& record : m_leave.Passes(view, m_holdings, aNow)) {
      Append(std::move(record));
    }
  }
  if (m_leave.IsDone(view, m_holdings, aNow)) {
    left = true;
    Append(GoneRecord{ self, self, GoneCause::kLeft });
  }
}

void
Node::Impl::CheckLeaseLost(MonoTime aNow)
{
  const bool removed = view.FindMember(self) == nullptr;
  if (left || !(removed || leaseholder.IsLeaseLost(view))) {
    return;
  }
  StopAll(aNow);
  m_leaseLost = true;
  effects.emplace_back(RejoinNeeded{});
}

void
Node::Impl::Send(DaemonId aTo, ControlMessage aMessage)
{
  effects.emplace_back(SendMessage{ aTo, std::move(aMessage) });
}

void
Node::Impl::Append(OwnershipRecord aRecord)
{
  effects.emplace_back(AppendRecord{ std::move(aRecord) });
}

}
