#include "src/Ownership/Leaseholder.h"

#include <algorithm>

#include "src/Ownership/WitnessSelection.h"

namespace pistachioshift::internal {

namespace {

// Acks of older renewals can't extend the lease any more.
constexpr size_t kMaxSent = 16;

/** \brief The value that a majority of the set reaches. */
template<class T, class ValueOf>
T
MajorityValue(const WitnessSet& aSet, T aLowest, ValueOf aValueOf)
{
  std::vector<T> values;
  values.reserve(aSet.witnesses.size());
  for (const auto witness : aSet.witnesses) {
    values.push_back(aValueOf(witness));
  }
  std::ranges::sort(values, std::greater<T>());
  return values.empty() ? aLowest : values[aSet.Majority() - 1];
}

}

Leaseholder::Leaseholder(DaemonId aSelf, const NodeSettings& aSettings)
  : m_self(aSelf)
  , m_settings(aSettings)
{
}

void
Leaseholder::Sync(const OwnershipView& aView)
{
  const auto* sets = aView.FindWitnesses(m_self);
  if (sets == nullptr) {
    return;
  }
  if (!m_counted) {
    m_counted = sets->current;
  }
  // The leaseholder may have switched before its record of it is applied.
  const bool ahead =
    sets->pending && sets->pending->offset <= m_counted->offset;
  m_pending = ahead ? std::nullopt : sets->pending;
  if (m_pending) {
    Hasten();
  }
  std::erase_if(m_promises, [this](const auto& aPromise) {
    return !m_counted->Contains(aPromise.first) &&
           !(m_pending && m_pending->Contains(aPromise.first));
  });
}

std::optional<Renewals>
Leaseholder::OnTick(Offset aApplied, MonoTime aNow)
{
  if (!m_counted || aNow < m_nextRenewal) {
    return std::nullopt;
  }
  m_nextRenewal = aNow + m_settings.renewInterval;
  std::set<DaemonId> witnesses(m_counted->witnesses.begin(),
                               m_counted->witnesses.end());
  if (m_pending) {
    witnesses.insert(m_pending->witnesses.begin(), m_pending->witnesses.end());
  }
  m_sent.push_back(Sent{ ++m_sequence, aNow });
  if (m_sent.size() > kMaxSent) {
    m_sent.pop_front();
  }
  Renewals renewals;
  renewals.witnesses.assign(witnesses.begin(), witnesses.end());
  renewals.renew.sequence = m_sequence;
  renewals.renew.set = m_counted->offset;
  renewals.renew.version = aApplied;
  return renewals;
}

void
Leaseholder::OnAck(DaemonId aWitness, const RenewAck& aAck, MonoTime aNow)
{
  const bool counted = m_counted && m_counted->Contains(aWitness);
  const bool pending = m_pending && m_pending->Contains(aWitness);
  if (!counted && !pending) {
    return;
  }
  auto& promise = m_promises[aWitness];
  promise.heard = std::max(promise.heard, aNow);
  promise.sealed |= aAck.sealed;
  const auto sent = std::ranges::find(m_sent, aAck.sequence, &Sent::sequence);
  if (aAck.sealed || sent == m_sent.end()) {
    return;
  }
  promise.plain = std::max(promise.plain, sent->at);
  if (aAck.firm || m_settings.mutation == Mutation::kPlainLease) {
    promise.firm = std::max(promise.firm, sent->at);
    promise.version = std::max(promise.version, aAck.version);
  }
}

MonoTime
Leaseholder::LeaseEnd(MonoTime Promise::*aGrade) const
{
  if (!m_counted) {
    return MonoTime::min();
  }
  if (m_counted->witnesses.empty()) {
    return MonoTime::max();
  }
  const auto sent =
    MajorityValue(*m_counted, MonoTime::min(), [&](DaemonId aWitness) {
      const auto found = m_promises.find(aWitness);
      return found == m_promises.end() ? MonoTime::min()
                                       : found->second.*aGrade;
    });
  return sent == MonoTime::min() ? sent : sent + m_settings.lease;
}

MonoTime
Leaseholder::PlainLeaseEnd() const
{
  return LeaseEnd(&Promise::plain);
}

MonoTime
Leaseholder::FirmLeaseEnd() const
{
  return LeaseEnd(&Promise::firm);
}

Offset
Leaseholder::AckedVersion(const WitnessSet& aSet) const
{
  return MajorityValue(aSet, Offset(), [this](DaemonId aWitness) {
    const auto found = m_promises.find(aWitness);
    return found == m_promises.end() ? Offset() : found->second.version;
  });
}

std::optional<WitnessSetSwitchedRecord>
Leaseholder::Advance(Offset aApplied)
{
  if (!m_counted) {
    return std::nullopt;
  }
  if (m_settings.mutation == Mutation::kAdoptUnwitnessed) {
    m_adopted = aApplied;
  }
  const bool lone = m_counted->witnesses.empty();
  auto acked = lone ? aApplied : AckedVersion(*m_counted);
  std::optional<WitnessSetSwitchedRecord> switched;
  const bool skip = m_settings.mutation == Mutation::kSwitchUnwitnessed;
  if (m_pending && (skip || acked >= m_pending->offset) &&
      AckedVersion(*m_pending) >= m_pending->offset) {
    m_counted = m_pending;
    m_pending.reset();
    acked = AckedVersion(*m_counted);
    switched = WitnessSetSwitchedRecord{ m_self, m_counted->offset };
  }
  if (m_pending) {
    // In offset order: the switch comes before any later change.
    acked = std::min(acked, Offset(m_pending->offset.Value() - 1));
  }
  m_adopted = std::max(m_adopted, acked);
  return switched;
}

bool
Leaseholder::NeedsReplacing(const OwnershipView& aView,
                            DaemonId aWitness,
                            MonoTime aNow) const
{
  const auto* member = aView.FindMember(aWitness);
  if (member == nullptr || member->leaving) {
    return true;
  }
  const auto found = m_promises.find(aWitness);
  if (found == m_promises.end()) {
    return false;
  }
  const auto& promise = found->second;
  return promise.sealed || aNow - promise.heard > m_settings.witnessTimeout;
}

std::optional<WitnessSetRecord>
Leaseholder::Propose(const OwnershipView& aView,
                     RandomEngine& aRandom,
                     MonoTime aNow)
{
  const auto* sets = aView.FindWitnesses(m_self);
  if (aNow < m_nextProposal || (sets != nullptr && sets->pending)) {
    return std::nullopt;
  }
  std::vector<DaemonId> keep;
  std::set<DaemonId> avoid;
  if (sets != nullptr) {
    for (const auto witness : sets->current.witnesses) {
      if (NeedsReplacing(aView, witness, aNow)) {
        avoid.insert(witness);
      } else {
        keep.push_back(witness);
      }
    }
    if (keep.size() == kWitnesses) {
      return std::nullopt;
    }
  }
  const auto witnesses = SelectWitnesses(aView, m_self, keep, avoid, aRandom);
  m_nextProposal = aNow + m_settings.witnessTimeout;
  if (sets == nullptr) {
    return WitnessSetRecord{ m_self, Offset(), witnesses };
  }
  const auto good = std::ranges::count_if(
    witnesses, [&](DaemonId aDaemon) { return !avoid.contains(aDaemon); });
  if (static_cast<size_t>(good) <= keep.size()) {
    return std::nullopt;
  }
  return WitnessSetRecord{ m_self, sets->current.offset, witnesses };
}

bool
Leaseholder::IsLost(const OwnershipView& aView) const
{
  if (!m_counted || m_counted->witnesses.empty()) {
    return false;
  }
  const auto useless =
    std::ranges::count_if(m_counted->witnesses, [&](DaemonId aWitness) {
      const auto found = m_promises.find(aWitness);
      const bool sealed = found != m_promises.end() && found->second.sealed;
      return sealed || aView.FindMember(aWitness) == nullptr;
    });
  const auto left = m_counted->witnesses.size() - static_cast<size_t>(useless);
  return left < m_counted->Majority();
}

}
