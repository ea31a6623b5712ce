#include <algorithm>

#include "src/Ownership/NodeImpl.h"

namespace pistachioshift {

void
Node::Impl::Adopt(MonoTime aNow)
{
  if (const auto switched = leaseholder.AdvanceAdopted(view.Applied())) {
    Append(*switched);
  }
  const auto adopted = leaseholder.Adopted();
  while (!m_unadopted.empty() && m_unadopted.begin()->first <= adopted) {
    const auto key = m_unadopted.begin()->second;
    m_unadopted.erase(m_unadopted.begin());
    m_dirty.insert(key);
    StopEnded(key, aNow);
  }
}

void
Node::Impl::StopEnded(const EntryKey& aKey, MonoTime aNow)
{
  const auto end = m_holdings.EndOf(aKey, view);
  if (end && *end <= leaseholder.Adopted()) {
    Stop(aKey, aNow);
  }
}

void
Node::Impl::Stop(const EntryKey& aKey, MonoTime aNow)
{
  if (!m_holdings.Stop(aKey)) {
    return;
  }
  effects.emplace_back(
    EntryStopping{ aKey, m_holdings.Find(aKey)->token, NextHolder(aKey) });
  if (m_settings.mutation == internal::Mutation::kReleaseBusy) {
    OnEntryIdle(aKey, aNow);
  }
}

DaemonId
Node::Impl::NextHolder(const EntryKey& aKey) const
{
  const auto* chain = view.FindChain(aKey);
  if (chain == nullptr) {
    return {};
  }
  const auto& current = chain->Current();
  for (size_t index = 0; index < current.holders.size(); ++index) {
    const auto daemon = current.holders[index];
    const Rank rank(static_cast<uint8_t>(index));
    const bool able = daemon != self && view.FindMember(daemon) != nullptr;
    if (able && !current.PassOf(rank)) {
      return daemon;
    }
  }
  return {};
}

void
Node::Impl::StopAll(MonoTime aNow)
{
  for (const auto& key : m_holdings.Keys()) {
    Stop(key, aNow);
  }
}

void
Node::Impl::OnEntryIdle(const EntryKey& aKey, MonoTime /*aNow*/)
{
  const auto end = m_holdings.EndOf(aKey, view);
  if (!m_holdings.Release(aKey)) {
    return;
  }
  if (end) {
    NotifyReleased(aKey, *end);
  }
  m_dirty.insert(aKey);
}

void
Node::Impl::NotifyReleased(const EntryKey& aKey, Offset aEnd)
{
  const auto* chain = view.FindChain(aKey);
  const ReleaseItem item{ aKey, aEnd };
  if (chain == nullptr ||
      !m_holdings.IsReleased(item, leaseholder.Adopted(), view)) {
    return;
  }
  for (const auto daemon : chain->Current().holders) {
    if (daemon != self) {
      Send(daemon, ReleaseReply{ { item } });
    }
  }
}

void
Node::Impl::EvaluateDirty(MonoTime aNow)
{
  const auto dirty = std::exchange(m_dirty, {});
  for (const auto& key : dirty) {
    StopEnded(key, aNow);
    Evaluate(key, aNow);
  }
  SendReleaseQueries();
}

bool
Node::Impl::HoldsOlderEntry(const EntryKey& aKey, Offset aEntry) const
{
  return m_holdings.Find(aKey) != nullptr ||
         !m_holdings.IsReleased({ aKey, aEntry }, aEntry, view);
}

void
Node::Impl::Evaluate(const EntryKey& aKey, MonoTime aNow)
{
  const auto* chain = view.FindChain(aKey);
  if (chain == nullptr || !IsActive() || m_leave.HasBegun()) {
    return;
  }
  const auto& current = chain->Current();
  const internal::OwnState own{ self,
                                leaseholder.Adopted(),
                                HoldsOlderEntry(aKey, current.offset) };
  const internal::TakeoverRule rule(view, m_evidence, m_settings);
  const auto takeover = rule.Decide(aKey, own);
  for (const auto& query : takeover.queries) {
    m_releaseQueries[query.daemon].push_back(query.item);
    m_retryKeys.insert(aKey);
  }
  if (!takeover.allowed) {
    return;
  }
  const bool ready =
    own.adopted >= current.offset && aNow < leaseholder.FirmLeaseEnd();
  if (!ready) {
    m_retryKeys.insert(aKey);
    return;
  }
  const FenceToken token{ current.offset, *current.RankOf(self) };
  Start(aKey, token, takeover.allReleased, aNow);
}

void
Node::Impl::Start(const EntryKey& aKey,
                  FenceToken aToken,
                  bool aReleased,
                  MonoTime aNow)
{
  auto notBefore = aNow;
  const auto wait = fenceWaits.find(aKey.service);
  const bool waits = m_settings.mutation != internal::Mutation::kNoFenceWait;
  if (waits && !aReleased && wait != fenceWaits.end()) {
    notBefore += m_settings.WithDriftMargin(wait->second);
  }
  m_holdings.Start(aKey, aToken, notBefore);
  effects.emplace_back(EntryStarted{ aKey, aToken, notBefore });
  m_unrecorded.push_back({ aKey, aToken.entry, aToken.rank });
  m_flushHeldAt = std::min(m_flushHeldAt, aNow + m_settings.heldBatchWindow);
}

void
Node::Impl::SendReleaseQueries()
{
  for (auto& [daemon, items] : m_releaseQueries) {
    for (size_t first = 0; first < items.size(); first += kMaxReleaseItems) {
      const auto count = std::min(kMaxReleaseItems, items.size() - first);
      const auto begin = items.begin() + static_cast<ptrdiff_t>(first);
      Send(daemon,
           ReleaseQuery{ { begin, begin + static_cast<ptrdiff_t>(count) } });
    }
  }
  m_releaseQueries.clear();
}

void
Node::Impl::FlushHeld(MonoTime aNow)
{
  if (aNow < m_flushHeldAt) {
    return;
  }
  m_flushHeldAt = MonoTime::max();
  std::erase_if(m_unrecorded, [this](const HeldEntry& aHeld) {
    const auto* holding = m_holdings.Find(aHeld.key);
    return holding == nullptr || holding->token.entry != aHeld.entry;
  });
  if (!m_unrecorded.empty()) {
    Append(HeldRecord{ self, std::exchange(m_unrecorded, {}) });
  }
}

std::optional<FenceToken>
Node::Impl::MayServe(const EntryKey& aKey, MonoTime aNow) const
{
  const auto* holding = m_holdings.Find(aKey);
  if (holding == nullptr || holding->stopping || !IsActive()) {
    return std::nullopt;
  }
  const bool leased =
    aNow < leaseholder.FirmLeaseEnd() ||
    m_settings.mutation == internal::Mutation::kServeWithoutLease;
  // After a clock jump since the last tick, `notBefore` may appear to have
  // passed early; OnTick postpones it.
  const bool waited = holding->notBefore <= m_lastTick ||
                      aNow - m_lastTick <= m_settings.maxTickGap;
  if (!leased || !waited || aNow < holding->notBefore) {
    return std::nullopt;
  }
  return holding->token;
}

std::vector<HeldEntry>
Node::Impl::Held() const
{
  std::vector<HeldEntry> held;
  for (const auto& key : m_holdings.Keys()) {
    const auto& token = m_holdings.Find(key)->token;
    held.push_back({ key, token.entry, token.rank });
  }
  return held;
}

}
