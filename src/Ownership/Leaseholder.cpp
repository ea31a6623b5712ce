#include "src/Ownership/Leaseholder.h"

#include <algorithm>

#include "src/Ownership/WitnessSelection.h"

namespace pistachioshift::internal {

namespace {

// Older renewals were sent more than a lease ago: acks can't extend it further.
constexpr size_t kMaxSent = 16;

/** \brief Highest value that a majority of the set has reached. */
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
  if (!m_current) {
    m_current = sets->current;
  }
  // This daemon switches before it has applied its own record of the switch.
  const bool ahead =
    sets->pending && sets->pending->offset <= m_current->offset;
  m_pending = ahead ? std::nullopt : sets->pending;
  if (m_pending) {
    RenewOnNextTick();
  }
  std::erase_if(m_witnessStates, [this](const auto& aState) {
    return !m_current->Contains(aState.first) &&
           !(m_pending && m_pending->Contains(aState.first));
  });
}

std::optional<Renewals>
Leaseholder::OnTick(Offset aApplied, MonoTime aNow)
{
  if (!m_current || aNow < m_nextRenewal) {
    return std::nullopt;
  }
  m_nextRenewal = aNow + m_settings.renewInterval;
  std::set<DaemonId> witnesses(m_current->witnesses.begin(),
                               m_current->witnesses.end());
  if (m_pending) {
    witnesses.insert(m_pending->witnesses.begin(), m_pending->witnesses.end());
  }
  m_sent.push_back(SentRenewal{ ++m_sequence, aNow });
  if (m_sent.size() > kMaxSent) {
    m_sent.pop_front();
  }
  Renewals renewals;
  renewals.witnesses.assign(witnesses.begin(), witnesses.end());
  renewals.renew.sequence = m_sequence;
  renewals.renew.set = m_current->offset;
  renewals.renew.version = aApplied;
  return renewals;
}

void
Leaseholder::OnAck(DaemonId aWitness, const RenewAck& aAck, MonoTime aNow)
{
  const bool current = m_current && m_current->Contains(aWitness);
  const bool pending = m_pending && m_pending->Contains(aWitness);
  if (!current && !pending) {
    return;
  }
  auto& state = m_witnessStates[aWitness];
  state.lastAck = std::max(state.lastAck, aNow);
  state.sealed |= aAck.sealed;
  const auto sent =
    std::ranges::find(m_sent, aAck.sequence, &SentRenewal::sequence);
  if (aAck.sealed || sent == m_sent.end()) {
    return;
  }
  state.plain = std::max(state.plain, sent->at);
  if (aAck.firm || m_settings.mutation == Mutation::kPlainLease) {
    state.firm = std::max(state.firm, sent->at);
    state.version = std::max(state.version, aAck.version);
  }
}

MonoTime
Leaseholder::LeaseEnd(MonoTime WitnessState::*aGrade) const
{
  if (!m_current) {
    return MonoTime::min();
  }
  if (m_current->witnesses.empty()) {
    return MonoTime::max();
  }
  const auto sent =
    MajorityValue(*m_current, MonoTime::min(), [&](DaemonId aWitness) {
      const auto found = m_witnessStates.find(aWitness);
      return found == m_witnessStates.end() ? MonoTime::min()
                                            : found->second.*aGrade;
    });
  return sent == MonoTime::min() ? sent : sent + m_settings.lease;
}

MonoTime
Leaseholder::PlainLeaseEnd() const
{
  return LeaseEnd(&WitnessState::plain);
}

MonoTime
Leaseholder::FirmLeaseEnd() const
{
  return LeaseEnd(&WitnessState::firm);
}

Offset
Leaseholder::AckedVersion(const WitnessSet& aSet) const
{
  return MajorityValue(aSet, Offset(), [this](DaemonId aWitness) {
    const auto found = m_witnessStates.find(aWitness);
    return found == m_witnessStates.end() ? Offset() : found->second.version;
  });
}

std::optional<WitnessSetSwitchedRecord>
Leaseholder::AdvanceAdopted(Offset aApplied)
{
  if (!m_current) {
    return std::nullopt;
  }
  if (m_settings.mutation == Mutation::kAdoptUnwitnessed) {
    m_adopted = aApplied;
  }
  const bool lone = m_current->witnesses.empty();
  auto acked = lone ? aApplied : AckedVersion(*m_current);
  std::optional<WitnessSetSwitchedRecord> switched;
  const bool skip = m_settings.mutation == Mutation::kSwitchUnwitnessed;
  if (m_pending && (skip || acked >= m_pending->offset) &&
      AckedVersion(*m_pending) >= m_pending->offset) {
    m_current = m_pending;
    m_pending.reset();
    acked = AckedVersion(*m_current);
    switched = WitnessSetSwitchedRecord{ m_self, m_current->offset };
  }
  if (m_pending) {
    // Changes are adopted in offset order, and the switch is one of them.
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
  const auto found = m_witnessStates.find(aWitness);
  if (found == m_witnessStates.end()) {
    return false;
  }
  const auto& state = found->second;
  return state.sealed || aNow - state.lastAck > m_settings.witnessTimeout;
}

std::optional<WitnessSetRecord>
Leaseholder::ProposeWitnesses(const OwnershipView& aView,
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
  const auto usable = std::ranges::count_if(
    witnesses, [&](DaemonId aDaemon) { return !avoid.contains(aDaemon); });
  if (static_cast<size_t>(usable) <= keep.size()) {
    return std::nullopt;
  }
  return WitnessSetRecord{ m_self, sets->current.offset, witnesses };
}

bool
Leaseholder::IsLeaseLost(const OwnershipView& aView) const
{
  if (!m_current || m_current->witnesses.empty()) {
    return false;
  }
  const auto unavailable =
    std::ranges::count_if(m_current->witnesses, [&](DaemonId aWitness) {
      const auto found = m_witnessStates.find(aWitness);
      const bool sealed =
        found != m_witnessStates.end() && found->second.sealed;
      return sealed || aView.FindMember(aWitness) == nullptr;
    });
  const auto left =
    m_current->witnesses.size() - static_cast<size_t>(unavailable);
  return left < m_current->Majority();
}

}
