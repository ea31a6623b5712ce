#include "src/Planner/Planner.h"

#include <algorithm>
#include <optional>
#include <set>

#include "src/Planner/Imbalance.h"

namespace pistachioshift {

namespace {

constexpr Duration kBudgetWindow = std::chrono::hours(1);
/// Share of the budget that may be spent at the minimum gain.
constexpr double kMinGainBudgetShare = 0.5;
/// Over the rest of the budget the required gain grows linearly, to 1 plus this
/// value times the minimum gain.
constexpr double kGainIncrease = 3.0;
/// Added to the load after a pin when moves are compared, as a share of the
/// mean relative load: moving a whole range is preferred to an equal pin.
constexpr double kPinPenalty = 0.01;
/// A pinned key is cold below this share of the load required to pin it.
constexpr double kColdShare = 0.25;

void
CheckServers(const ServiceLoad& aLoad)
{
  for (const auto& server : aLoad.servers) {
    if (!(server.capacity > 0.0)) {
      throw PlannerError("the capacity of a server is not positive");
    }
  }
}

using RangeEntries = std::map<RangeIndex, const EntryLoad*>;

RangeEntries
RangesOf(const ServiceLoad& aLoad)
{
  RangeEntries ranges;
  for (const auto& entry : aLoad.entries) {
    if (!entry.name.IsPinned()) {
      ranges[entry.name.range] = &entry;
    }
  }
  return ranges;
}

size_t
PinCount(const ServiceLoad& aLoad)
{
  const auto pinned = [](const EntryLoad& aEntry) {
    return aEntry.name.IsPinned();
  };
  const auto count =
    std::count_if(aLoad.entries.begin(), aLoad.entries.end(), pinned);
  return static_cast<size_t>(count);
}

}

Planner::Planner(PlannerSettings aSettings)
  : m_settings(aSettings)
{
}

std::vector<Proposal>
Planner::Plan(const ServiceLoad& aLoad, uint32_t aMaxMoves, MonoTime aNow)
{
  CheckServers(aLoad);
  const auto load = Smooth(aLoad, aNow);
  std::vector<Proposal> proposals;
  UnpinColdKeys(proposals, load, aMaxMoves, aNow);
  if (UpdateBalancing(ImbalanceOf(load))) {
    auto draft = MakeDraft(load, aNow);
    ProposeMoves(draft, proposals, aMaxMoves, aNow);
    // No move gained enough. Balancing ends, because only noise in the reports
    // would let one pass on a later plan.
    if (draft.moves == 0) {
      m_balancing = false;
      m_plansAboveStart = 0;
    }
  }
  return proposals;
}

void
Planner::OnMove(MonoTime aAt)
{
  m_moveTimes.push_back(aAt);
}

size_t
Planner::MovesInLastHour(MonoTime aNow) const
{
  const auto recent =
    std::count_if(m_moveTimes.begin(), m_moveTimes.end(), [&](MonoTime aAt) {
      return aNow - aAt < kBudgetWindow;
    });
  return static_cast<size_t>(recent);
}

// Returns the load with smoothed values, and with pending proposals as moves in
// progress.
ServiceLoad
Planner::Smooth(const ServiceLoad& aLoad, MonoTime aNow)
{
  auto load = aLoad;
  std::erase_if(m_pending, [&](const auto& aPending) {
    return aNow - aPending.second.since > m_settings.proposalTimeout;
  });
  for (const auto& entry : aLoad.entries) {
    EraseVisiblePending(entry);
  }
  AddPendingPins(load);
  std::map<EntryName, double> next;
  for (auto& entry : load.entries) {
    const auto known = m_smoothedLoads.find(entry.name);
    if (known != m_smoothedLoads.end()) {
      entry.load = known->second +
                   m_settings.smoothingFactor * (entry.load - known->second);
    }
    next[entry.name] = entry.load;
    const auto pending = m_pending.find(entry.name);
    if (pending != m_pending.end() && !entry.movingTo) {
      entry.movingTo = pending->second.to;
    }
  }
  m_smoothedLoads = std::move(next);
  SmoothKeys(load);
  return load;
}

void
Planner::EraseVisiblePending(const EntryLoad& aEntry)
{
  const auto pending = m_pending.find(aEntry.name);
  if (pending == m_pending.end()) {
    return;
  }
  if (aEntry.movingTo || aEntry.owner == pending->second.to) {
    m_pending.erase(pending);
  }
}

// Adds an entry for each pending pin that isn't reported yet, and subtracts its
// load from that of its range.
void
Planner::AddPendingPins(ServiceLoad& aLoad) const
{
  std::map<EntryName, size_t> indexes;
  for (size_t index = 0; index < aLoad.entries.size(); ++index) {
    indexes.emplace(aLoad.entries[index].name, index);
  }
  for (const auto& [name, pending] : m_pending) {
    const auto known = m_smoothedLoads.find(name);
    const auto range = indexes.find(EntryName{ name.range, "" });
    if (indexes.contains(name) || known == m_smoothedLoads.end() ||
        range == indexes.end()) {
      continue;
    }
    auto& rest = aLoad.entries[range->second];
    rest.load = std::max(rest.load - known->second, 0.0);
    const auto owner = rest.owner;
    aLoad.entries.push_back({ name, owner, known->second, pending.to });
  }
}

void
Planner::SmoothKeys(ServiceLoad& aLoad)
{
  std::map<EntryName, double> next;
  for (auto& hot : aLoad.hotKeys) {
    const EntryName name{ hot.range, hot.key };
    const auto known = m_smoothedKeyLoads.find(name);
    const auto before =
      known != m_smoothedKeyLoads.end() ? known->second : hot.load;
    hot.load = before + m_settings.smoothingFactor * (hot.load - before);
    next[name] = hot.load;
  }
  m_smoothedKeyLoads = std::move(next);
}

Planner::Draft
Planner::MakeDraft(const ServiceLoad& aLoad, MonoTime aNow) const
{
  Draft draft;
  std::map<DaemonId, double> loads;
  double total = 0.0;
  double capacity = 0.0;
  for (const auto& entry : aLoad.entries) {
    loads[entry.movingTo.value_or(entry.owner)] += entry.load;
  }
  for (const auto& state : aLoad.servers) {
    Server server{ state.id, state.capacity, state.takesEntries };
    server.load = loads[state.id];
    total += server.load;
    capacity += server.capacity;
    draft.servers.push_back(server);
  }
  draft.mean = total / capacity;
  AddCandidates(draft, aLoad, aNow);
  return draft;
}

void
Planner::AddCandidates(Draft& aDraft,
                       const ServiceLoad& aLoad,
                       MonoTime aNow) const
{
  std::map<RangeIndex, DaemonId> movableRanges;
  std::set<EntryName> pinned;
  std::set<RangeIndex> busy;
  for (const auto& entry : aLoad.entries) {
    if (entry.name.IsPinned()) {
      pinned.insert(entry.name);
    }
    if (entry.movingTo) {
      busy.insert(entry.name.range);
    }
  }
  for (const auto& entry : aLoad.entries) {
    if (busy.contains(entry.name.range) || !MayMove(entry, aNow)) {
      continue;
    }
    const Proposal move{ ProposalKind::kMove, entry.name, entry.owner };
    aDraft.candidates.push_back({ move, entry.load });
    if (!entry.name.IsPinned()) {
      movableRanges[entry.name.range] = entry.owner;
    }
  }
  for (const auto& hot : aLoad.hotKeys) {
    const EntryName name{ hot.range, hot.key };
    const auto range = movableRanges.find(hot.range);
    const bool room = pinned.size() < m_settings.maxPins;
    if (range == movableRanges.end() || pinned.contains(name) || !room) {
      continue;
    }
    const Proposal pin{ ProposalKind::kPin, name, range->second };
    aDraft.candidates.push_back({ pin, hot.load });
  }
}

bool
Planner::MayMove(const EntryLoad& aEntry, MonoTime aNow) const
{
  if (aEntry.movingTo || m_pending.contains(aEntry.name)) {
    return false;
  }
  return !aEntry.movedAt || aNow - *aEntry.movedAt >= m_settings.moveCooldown;
}

// Hysteresis: balancing starts when the imbalance stays high or is urgent, and
// ends when it is low.
bool
Planner::UpdateBalancing(double aImbalance)
{
  const bool high = aImbalance > m_settings.startImbalance;
  const bool urgent = aImbalance > m_settings.urgentImbalance;
  m_plansAboveStart = high ? m_plansAboveStart + 1 : 0;
  if (urgent || m_plansAboveStart >= m_settings.plansToStart) {
    m_balancing = true;
  }
  if (aImbalance <= m_settings.stopImbalance) {
    m_balancing = false;
  }
  return m_balancing;
}

std::optional<Planner::Choice>
Planner::FindBestMove(const Draft& aDraft, size_t aFrom) const
{
  const auto& from = aDraft.servers[aFrom];
  std::optional<Choice> best;
  double bestCost = from.RelativeLoad();
  for (size_t index = 0; index < aDraft.candidates.size(); ++index) {
    const auto& candidate = aDraft.candidates[index];
    const bool pin = candidate.proposal.kind == ProposalKind::kPin;
    const auto least =
      pin ? m_settings.minPinShare * aDraft.mean * from.capacity : 0.0;
    if (candidate.proposal.from != from.id || candidate.load <= least) {
      continue;
    }
    const auto left = (from.load - candidate.load) / from.capacity;
    for (size_t target = 0; target < aDraft.servers.size(); ++target) {
      const auto& to = aDraft.servers[target];
      if (target == aFrom || !to.takesEntries) {
        continue;
      }
      const auto filled = (to.load + candidate.load) / to.capacity;
      const auto loadAfter = std::max(left, filled);
      const auto cost = loadAfter + (pin ? kPinPenalty * aDraft.mean : 0.0);
      if (cost < bestCost) {
        bestCost = cost;
        best = Choice{ index, target, loadAfter };
      }
    }
  }
  return best;
}

double
Planner::MinGain(const Draft& aDraft, size_t aBudget, MonoTime aNow) const
{
  const auto spent =
    static_cast<double>(MovesInLastHour(aNow)) / static_cast<double>(aBudget);
  const auto scarce =
    std::max(spent - kMinGainBudgetShare, 0.0) / (1.0 - kMinGainBudgetShare);
  return m_settings.minGain * aDraft.mean * (1.0 + kGainIncrease * scarce);
}

void
Planner::ProposeMoves(Draft& aDraft,
                      std::vector<Proposal>& aProposals,
                      size_t aBudget,
                      MonoTime aNow)
{
  const auto lessLoaded = [](const Server& aOne, const Server& aTwo) {
    const auto one = aOne.exhausted ? -1.0 : aOne.RelativeLoad();
    const auto two = aTwo.exhausted ? -1.0 : aTwo.RelativeLoad();
    return one < two;
  };
  auto& servers = aDraft.servers;
  while (aDraft.moves < m_settings.maxMovesPerPlan &&
         MovesInLastHour(aNow) < aBudget) {
    const auto mostLoaded =
      std::max_element(servers.begin(), servers.end(), lessLoaded);
    const auto bound = m_settings.stopImbalance * aDraft.mean;
    if (mostLoaded == servers.end() || mostLoaded->exhausted ||
        mostLoaded->RelativeLoad() <= bound) {
      return;
    }
    const auto from = static_cast<size_t>(mostLoaded - servers.begin());
    const auto choice = FindBestMove(aDraft, from);
    const auto gain =
      choice ? mostLoaded->RelativeLoad() - choice->loadAfter : 0.0;
    if (!choice || gain < MinGain(aDraft, aBudget, aNow)) {
      mostLoaded->exhausted = true;
      continue;
    }
    aProposals.push_back(Apply(aDraft, *choice, aNow));
  }
}

Proposal
Planner::Apply(Draft& aDraft, const Choice& aChoice, MonoTime aNow)
{
  auto proposal = aDraft.candidates[aChoice.candidate].proposal;
  const auto load = aDraft.candidates[aChoice.candidate].load;
  auto& to = aDraft.servers[aChoice.target];
  proposal.to = to.id;
  to.load += load;
  for (auto& server : aDraft.servers) {
    if (server.id == proposal.from) {
      server.load -= load;
    }
  }
  if (proposal.kind == ProposalKind::kPin) {
    m_smoothedLoads[EntryName{ proposal.entry.range, "" }] -= load;
    m_smoothedLoads[proposal.entry] = load;
  }
  ++aDraft.moves;
  CountMove(proposal, aNow);
  // At most one proposal per range in one plan.
  std::erase_if(aDraft.candidates, [&](const Candidate& aOther) {
    return aOther.proposal.entry.range == proposal.entry.range;
  });
  return proposal;
}

void
Planner::CountMove(const Proposal& aProposal, MonoTime aNow)
{
  std::erase_if(m_moveTimes,
                [&](MonoTime aAt) { return aNow - aAt >= kBudgetWindow; });
  OnMove(aNow);
  m_pending[aProposal.entry] = Pending{ aProposal.to, aNow };
}

// Unpins a cold key if its range has the same owner. Otherwise the key has to
// be moved to that owner first, which is done only when more than half of the
// allowed pins are in use.
void
Planner::UnpinColdKeys(std::vector<Proposal>& aProposals,
                       const ServiceLoad& aLoad,
                       size_t aBudget,
                       MonoTime aNow)
{
  const auto ranges = RangesOf(aLoad);
  const bool many = PinCount(aLoad) > m_settings.maxPins / 2;
  double total = 0.0;
  for (const auto& entry : aLoad.entries) {
    total += entry.load;
  }
  const auto servers = static_cast<double>(aLoad.servers.size());
  const auto cold = kColdShare * m_settings.minPinShare * total / servers;
  for (const auto& entry : aLoad.entries) {
    if (!HasStayedCold(entry, cold, aNow) || !MayMove(entry, aNow)) {
      continue;
    }
    const auto range = ranges.find(entry.name.range);
    if (range == ranges.end() || range->second->movingTo) {
      continue;
    }
    const auto home = range->second->owner;
    if (home == entry.owner) {
      aProposals.push_back({ ProposalKind::kUnpin, entry.name, home, home });
      continue;
    }
    if (many && aProposals.size() < m_settings.maxMovesPerPlan &&
        MovesInLastHour(aNow) < aBudget) {
      aProposals.push_back(
        { ProposalKind::kMove, entry.name, entry.owner, home });
      CountMove(aProposals.back(), aNow);
    }
  }
}

bool
Planner::HasStayedCold(const EntryLoad& aEntry,
                       double aThreshold,
                       MonoTime aNow)
{
  if (!aEntry.name.IsPinned() || aEntry.load >= aThreshold) {
    m_coldSince.erase(aEntry.name);
    return false;
  }
  const auto since = m_coldSince.emplace(aEntry.name, aNow).first->second;
  return aNow - since >= m_settings.unpinDelay;
}

}
