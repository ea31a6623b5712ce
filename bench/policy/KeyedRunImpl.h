#ifndef PISTACHIOSHIFT_BENCH_POLICY_KEYEDRUNIMPL_H
#define PISTACHIOSHIFT_BENCH_POLICY_KEYEDRUNIMPL_H

#include "bench/policy/KeyedRun.h"

namespace pistachioshift::bench {

inline KeyedRun::KeyedRun(const Deployment& aDeployment,
                          const KeyedScenario& aScenario,
                          KeyedPolicy aPolicy)
  : m_deployment(aDeployment)
  , m_scenario(aScenario)
  , m_policy(aPolicy)
  , m_entryOf(kKeys)
  , m_keyInFlight(kKeys)
{
  for (uint32_t index = 0; index < aDeployment.keyedServers; ++index) {
    m_servers.push_back({ AdmissionController(GateSettingsFor(
                            aDeployment, aDeployment.keyedSlots)),
                          KeySketch(kSketchKeys) });
  }
  for (uint32_t range = 0; range < kRanges; ++range) {
    Entry entry;
    entry.name = { RangeIndex(range), "" };
    entry.owner = range % aDeployment.keyedServers;
    m_entryIndex[entry.name] = m_entries.size();
    m_entries.push_back(entry);
  }
  for (uint32_t key = 0; key < kKeys; ++key) {
    m_entryOf[key] = RangeOfKey(KeyName(key), kRanges).Value();
    m_keyOf[KeyName(key)] = key;
  }
  DealPopularity(1);
}

inline void
KeyedRun::DealPopularity(uint64_t aSeed)
{
  std::vector<double> share(kKeys);
  for (uint32_t rank = 0; rank < kKeys; ++rank) {
    share[rank] = std::pow(rank + 1.0, -m_deployment.zipf);
  }
  const auto sum = std::accumulate(share.begin(), share.end(), 0.0);
  for (auto& value : share) {
    value /= sum;
  }
  RandomEngine random(aSeed);
  std::shuffle(share.begin(), share.end(), random);
  m_share = share;
  m_drawKey = std::discrete_distribution<uint32_t>(share.begin(), share.end());
}

inline void
KeyedRun::Change()
{
  m_changed = true;
  if (m_scenario.shifts) {
    DealPopularity(2);
  }
}

inline std::vector<std::pair<std::string, double>>
KeyedRun::Figures()
{
  const auto capacity =
    static_cast<double>(m_deployment.keyedServers * m_deployment.keyedSlots);
  const auto rate = kLoad * capacity / m_deployment.MeanService();
  auto arrival = m_start;
  auto plan = m_start + kPlanEvery;
  double before = 0.0;
  double after = 0.0;
  double twoMinutes = 0.0;
  while (arrival < m_start + kLength) {
    if (!m_changed && arrival >= m_start + kChangeAt) {
      before = Imbalance();
      Change();
      after = Imbalance();
    }
    if (twoMinutes == 0.0 && arrival >= m_start + kMeasureAt) {
      twoMinutes = Imbalance();
    }
    if (arrival >= plan) {
      RunUntil(plan);
      PlanNow();
      plan += kPlanEvery;
    }
    RunUntil(arrival);
    Arrive();
    arrival += DrawGap(rate, m_random);
  }
  const auto least = ImbalanceLowerBound(m_share, m_deployment.keyedServers);
  const auto moves = static_cast<double>(m_moves);
  return { { "imbBefore", before },
           { "imbChanged", after },
           { "imb120s", twoMinutes },
           { "least", least },
           { "ratio", twoMinutes / least },
           { "moves", moves },
           { "movedShare", m_movedShare },
           { "holdMs", moves > 0 ? Seconds(m_heldTime) * 1e3 / moves : 0.0 },
           { "p50ms", m_tally.Quantile(0.5) },
           { "p99ms", m_tally.Quantile(0.99) },
           { "refused", m_tally.RefusedShare() },
           { "late", m_tally.LateShare() } };
}

inline void
KeyedRun::RunUntil(MonoTime aTime)
{
  while (!m_events.empty() && m_events.top().time <= aTime) {
    const auto event = m_events.top();
    m_events.pop();
    m_now = event.time;
    if (event.moveEnds) {
      EndMove(event.entry);
    } else {
      End(event.request);
    }
  }
  m_now = aTime;
}

inline void
KeyedRun::Arrive()
{
  const RequestId id{ 1, ++m_count };
  Request request;
  request.key = m_drawKey(m_random);
  request.requestClass = DrawClass(m_deployment, m_random);
  request.arrived = m_now;
  request.deadline =
    m_now + DrawDeadline(m_deployment, request.requestClass, m_random);
  const auto& model = m_deployment.classes[request.requestClass];
  request.service = DrawService(model, m_random);
  m_requests[id] = request;
  auto& entry = m_entries[m_entryOf[request.key]];
  entry.work += model.serviceSeconds;
  m_servers[entry.owner].sketch.Add(KeyName(request.key), model.serviceSeconds);
  if (entry.to) {
    entry.held.push_back(id);
    return;
  }
  AdmitAt(entry.owner, id);
}

inline void
KeyedRun::AdmitAt(uint32_t aServer, const RequestId& aId)
{
  auto& request = m_requests.at(aId);
  request.server = aServer;
  ++m_entries[m_entryOf[request.key]].inFlight;
  ++m_keyInFlight[request.key];
  const ClassIndex index(request.requestClass);
  Carry(aServer,
        m_servers[aServer].gate.Admit({ aId, index, request.deadline }, m_now));
}

inline void
KeyedRun::End(const RequestId& aId)
{
  const auto request = m_requests.at(aId);
  const auto& model = m_deployment.classes[request.requestClass];
  m_servers[request.server].nominal += model.serviceSeconds;
  if (m_changed) {
    const auto zones = static_cast<double>(m_deployment.zones);
    std::bernoulli_distribution otherZone((zones - 1.0) / zones);
    const auto hop = otherZone(m_random) ? 2 * m_deployment.oneWay : Duration{};
    m_tally.Done(m_now + hop - request.arrived,
                 m_now <= request.deadline,
                 model.serviceSeconds);
  }
  Leave(request);
  m_requests.erase(aId);
  auto& gate = m_servers[request.server].gate;
  Carry(request.server, gate.Finished(aId, ServiceResult::kDone, m_now));
}

inline void
KeyedRun::Carry(uint32_t aServer, const AdmissionActions& aActions)
{
  const bool slow = m_changed && aServer == kSlowServer;
  const auto speed = slow ? m_scenario.speedOfOne : 1.0;
  for (const auto& id : aActions.starts) {
    const auto service = m_requests.at(id).service / speed;
    m_servers[aServer].busy += service;
    m_events.push({ m_now + FromSeconds(service), id });
  }
  for (const auto& refusal : aActions.refusals) {
    if (m_changed) {
      m_tally.Refused();
    }
    const auto request = m_requests.at(refusal.id);
    m_requests.erase(refusal.id);
    Leave(request);
  }
}

inline void
KeyedRun::Leave(const Request& aRequest)
{
  --m_keyInFlight[aRequest.key];
  const auto index = m_entryOf[aRequest.key];
  --m_entries[index].inFlight;
  TryEndMove(index);
}

inline void
KeyedRun::BeginMove(size_t aEntry, uint32_t aTo)
{
  auto& entry = m_entries[aEntry];
  entry.to = aTo;
  entry.heldSince = m_now;
  if (m_changed) {
    ++m_moves;
    for (uint32_t key = 0; key < kKeys; ++key) {
      m_movedShare += m_entryOf[key] == aEntry ? m_share[key] : 0.0;
    }
  }
  TryEndMove(aEntry);
}

inline void
KeyedRun::TryEndMove(size_t aEntry)
{
  auto& entry = m_entries[aEntry];
  if (!entry.to || entry.inFlight > 0 || entry.ending) {
    return;
  }
  entry.ending = true;
  m_events.push({ m_now + 2 * m_deployment.oneWay, {}, aEntry, true });
}

inline void
KeyedRun::EndMove(size_t aEntry)
{
  auto& entry = m_entries[aEntry];
  entry.owner = *entry.to;
  entry.to.reset();
  entry.ending = false;
  entry.movedAt = m_now;
  m_heldTime += m_changed ? m_now - entry.heldSince : Duration{};
  const auto owner = entry.owner;
  const auto held = std::move(entry.held);
  entry.held.clear();
  for (const auto& id : held) {
    AdmitAt(owner, id);
  }
}

inline ServiceLoad
KeyedRun::Load(bool aExact) const
{
  std::vector<double> loads(m_entries.size());
  for (size_t index = 0; index < m_entries.size(); ++index) {
    loads[index] = m_entries[index].work / Seconds(kPlanEvery);
  }
  if (aExact) {
    loads.assign(m_entries.size(), 0.0);
    for (uint32_t key = 0; key < kKeys; ++key) {
      loads[m_entryOf[key]] += m_share[key];
    }
  }
  ServiceLoad load;
  for (uint32_t index = 0; index < m_servers.size(); ++index) {
    const auto& server = m_servers[index];
    const auto seen = server.busy > 0.0 ? server.nominal / server.busy : 1.0;
    // Chance alone moves it by some hundredths.
    const auto speed = aExact || seen > 0.8 ? 1.0 : std::max(seen, 0.05);
    load.servers.push_back(
      { DaemonId(index), speed * m_deployment.keyedSlots });
  }
  for (size_t index = 0; index < m_entries.size(); ++index) {
    const auto& entry = m_entries[index];
    EntryLoad one{ entry.name, DaemonId(entry.owner), loads[index] };
    if (entry.to) {
      one.movingTo = DaemonId(*entry.to);
    }
    one.movedAt = entry.movedAt;
    load.entries.push_back(one);
  }
  return load;
}

inline void
KeyedRun::AddHotKeys(ServiceLoad& aLoad) const
{
  for (const auto& server : m_servers) {
    for (const auto& hot : server.sketch.Top(kReportedKeys)) {
      const auto& name = m_entries[m_entryOf[m_keyOf.at(hot.key)]].name;
      if (!name.IsPinned()) {
        const auto load = hot.LowerBound() / Seconds(kPlanEvery);
        aLoad.hotKeys.push_back({ hot.key, name.range, load });
      }
    }
  }
}

inline void
KeyedRun::PlanNow()
{
  auto load = Load(false);
  if (m_policy == KeyedPolicy::kRehash && ImbalanceOf(load) > 1.15) {
    Rehash();
  }
  if (m_policy == KeyedPolicy::kPlanner) {
    AddHotKeys(load);
    const auto budget = m_deployment.movesPerHour;
    for (const auto& proposal : m_planner.Plan(load, budget, m_now)) {
      CarryOut(proposal);
    }
  }
  for (auto& entry : m_entries) {
    entry.work = 0.0;
  }
  for (auto& server : m_servers) {
    server.sketch = KeySketch(kSketchKeys);
    server.nominal = 0.0;
    server.busy = 0.0;
  }
}

// Takes the best of some hashes, if it's better than the present one.
inline void
KeyedRun::Rehash()
{
  constexpr uint64_t kTries = 16;
  const auto servers = static_cast<uint64_t>(m_servers.size());
  const auto ownerBy = [&](uint64_t aSalt, size_t aRange) {
    return HashKey(fmt::format("{}/{}", aSalt, aRange)) % servers;
  };
  auto best = ImbalanceOf(Load(false));
  uint64_t bestSalt = 0;
  for (uint64_t salt = m_salt + 1; salt <= m_salt + kTries; ++salt) {
    auto load = Load(false);
    for (size_t range = 0; range < kRanges; ++range) {
      load.entries[range].owner =
        DaemonId(static_cast<int64_t>(ownerBy(salt, range)));
    }
    if (ImbalanceOf(load) < best) {
      best = ImbalanceOf(load);
      bestSalt = salt;
    }
  }
  m_salt += kTries;
  for (size_t range = 0; bestSalt > 0 && range < kRanges; ++range) {
    const auto owner = static_cast<uint32_t>(ownerBy(bestSalt, range));
    if (!m_entries[range].to && m_entries[range].owner != owner) {
      BeginMove(range, owner);
    }
  }
}

inline void
KeyedRun::CarryOut(const Proposal& aProposal)
{
  const auto to = static_cast<uint32_t>(aProposal.to.Value());
  if (aProposal.kind == ProposalKind::kMove) {
    return BeginMove(m_entryIndex.at(aProposal.entry), to);
  }
  if (aProposal.kind == ProposalKind::kUnpin) {
    return; // None becomes cold for long enough within a run.
  }
  const auto key = m_keyOf.at(aProposal.entry.pinnedKey);
  auto& range = m_entries[m_entryOf[key]];
  Entry pin;
  pin.name = aProposal.entry;
  pin.owner = range.owner;
  pin.inFlight = m_keyInFlight[key];
  range.inFlight -= pin.inFlight;
  const auto index = m_entries.size();
  m_entryOf[key] = index;
  m_entryIndex[pin.name] = index;
  m_entries.push_back(pin);
  BeginMove(index, to);
}

inline void
RunKeyed(Table& aTable, const Deployment& aDeployment)
{
  const std::vector<KeyedScenario> scenarios{
    { "keyed-season", true, 1.0 },
    { "keyed-slow-one", false, 0.1 },
  };
  const std::vector<std::pair<std::string, KeyedPolicy>> policies{
    { "static-hash", KeyedPolicy::kStaticHash },
    { "rehash", KeyedPolicy::kRehash },
    { "planner", KeyedPolicy::kPlanner },
  };
  for (const auto& scenario : scenarios) {
    for (const auto& [name, policy] : policies) {
      KeyedRun run(aDeployment, scenario, policy);
      aTable.Add({ aDeployment.name, scenario.name, name, run.Figures() });
    }
  }
}

}

#endif
