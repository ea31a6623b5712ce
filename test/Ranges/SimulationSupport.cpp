#include "test/Ranges/SimulationSupport.h"

#include <algorithm>

#include <fmt/format.h>

namespace pistachioshift::test {

namespace {

constexpr int64_t kFaultsEnd = 40000;       // ms
constexpr int64_t kDuration = 75000;        // ms
constexpr int64_t kTickInterval = 100;      // ms
constexpr int64_t kReadInterval = 1000;     // ms
constexpr int64_t kHeartbeatInterval = 900; // ms
constexpr int64_t kCallTimeout = 700;       // ms
constexpr int64_t kReleaseTimeout = 600;    // ms
constexpr Duration kMaxSettleTime = milliseconds(1500);
constexpr Duration kHostTimeout = milliseconds(3000);
constexpr Duration kServerTimeout = milliseconds(2900);
constexpr uint32_t kSampledKeys = 32;
constexpr int64_t kDaemonDrift = 5;  // Permille, of a daemon's clock
constexpr int64_t kServerDrift = 20; // Permille, of a backend server's clock

ShardKey
SampledKey(uint32_t aIndex)
{
  constexpr uint32_t kStep = kShardKeys / kSampledKeys;
  return ShardKey(aIndex * kStep + kStep / 2);
}

}

Simulation::Simulation(uint32_t aSeed,
                       const ProtocolRules& aRules,
                       bool aReturns)
  : m_random(aSeed)
  , m_rules(aRules)
  , m_returns(aReturns)
{
}

int64_t
Simulation::RandomInt(int64_t aLeast, int64_t aMost)
{
  return std::uniform_int_distribution<int64_t>(aLeast, aMost)(m_random);
}

void
Simulation::After(int64_t aMillis, std::function<void()> aAction)
{
  m_events.emplace(m_now + aMillis, std::move(aAction));
}

void
Simulation::Deliver(const DaemonPtr& aDaemon, std::function<void()> aAction)
{
  if (aDaemon->frozen) {
    aDaemon->deferred.push_back(std::move(aAction));
  } else if (!aDaemon->dead) {
    aAction();
  }
}

MonoTime
Simulation::LocalTime(double aRate) const
{
  const auto millis = static_cast<double>(m_now) * aRate;
  return MonoTime(std::chrono::hours(1)) +
         std::chrono::microseconds(static_cast<int64_t>(millis * 1000.0));
}

int64_t
Simulation::RandomDelay()
{
  return FaultOccurs(20) ? RandomInt(200, 2500) : RandomInt(1, 30);
}

bool
Simulation::FaultOccurs(int64_t aOneIn)
{
  return !m_faultsEnded && RandomInt(1, aOneIn) == 1;
}

std::string
Simulation::Run()
{
  for (const char* name : { "a", "b", "c", "d" }) {
    AddHost(name);
  }
  After(1, [this] { DeliverReports(); });
  PlanFaults();
  After(kFaultsEnd + 10000, [this] { EndFaults(); });
  while (m_violation.empty() && !m_events.empty() &&
         m_events.begin()->first <= kDuration) {
    const auto next = m_events.begin();
    m_now = next->first;
    const auto action = std::move(next->second);
    m_events.erase(next);
    action();
  }
  if (m_violation.empty() && !AllKeysHeld()) {
    m_violation = kNotRecovered;
  }
  return m_violation;
}

void
Simulation::AddHost(const std::string& aName)
{
  m_hosts[aName].server.name = "server-" + aName;
  m_hosts[aName].server.rate =
    1.0 + static_cast<double>(RandomInt(-kServerDrift, kServerDrift)) / 1000.0;
  StartDaemon(aName);
  StartServer(aName);
  After(RandomInt(1, kHeartbeatInterval),
        [this, aName] { SendHeartbeat(aName); });
}

void
Simulation::StartDaemon(const std::string& aHost)
{
  auto& host = m_hosts.at(aHost);
  if (host.removed || (host.daemon && !host.daemon->dead)) {
    return;
  }
  const double rate =
    1.0 + static_cast<double>(RandomInt(-kDaemonDrift, kDaemonDrift)) / 1000.0;
  const auto daemon = std::make_shared<SimulatedDaemon>(aHost, LocalTime(rate));
  daemon->rate = rate;
  daemon->self = RecordOf(aHost);
  daemon->self.server.reset();
  host.daemon = daemon;
  After(RandomInt(1, kTickInterval), [this, daemon] { Tick(daemon); });
}

void
Simulation::KillDaemon(const std::string& aHost)
{
  if (const auto& daemon = m_hosts.at(aHost).daemon) {
    daemon->dead = true;
    daemon->frozen = false;
  }
}

void
Simulation::StartServer(const std::string& aHost)
{
  auto& host = m_hosts.at(aHost);
  if (host.removed || host.server.running) {
    return;
  }
  host.server.running = true;
  host.server.startedAt = ++m_lastIncarnation;
  host.server.sequence = 0;
  host.server.lastReply = 0;
  host.server.holds.clear();
  host.server.requests.clear();
}

void
Simulation::PlanFaults()
{
  const auto count = RandomInt(2, 8);
  for (int64_t fault = 0; fault < count; ++fault) {
    PlanFault(RandomInt(3000, kFaultsEnd));
  }
  if (RandomInt(0, 3) == 0) {
    After(RandomInt(10000, kFaultsEnd), [this] { CrashAll(); });
  }
  for (int64_t count = m_returns ? RandomInt(1, 3) : 0; count > 0; --count) {
    PlanReturn(RandomInt(1000, kFaultsEnd));
  }
}

/** The store is away for a moment and comes back from an older copy. */
void
Simulation::PlanReturn(int64_t aAt)
{
  const auto age = RandomInt(100, 9000);
  const auto away = RandomInt(1, 2500);
  After(aAt, [this, age, away] {
    After(age, [this] { m_storeDown = true; });
    After(age + away, [this, copy = m_topic] {
      m_topic.ReturnTo(copy);
      m_storeDown = false;
    });
  });
}

void
Simulation::PlanFault(int64_t aAt)
{
  const auto name = std::string(1, static_cast<char>('a' + RandomInt(0, 3)));
  const auto duration = RandomInt(200, 9000);
  const auto toggle = [&](bool SimulatedLinks::*aLink) {
    After(aAt, [this, name, aLink] { m_hosts.at(name).links.*aLink = false; });
    After(aAt + duration,
          [this, name, aLink] { m_hosts.at(name).links.*aLink = true; });
  };
  switch (RandomInt(0, 7)) {
    case 0:
      After(aAt, [this, name] { KillDaemon(name); });
      After(aAt + duration, [this, name] { StartDaemon(name); });
      break;
    case 1:
      After(aAt, [this, name] { m_hosts.at(name).server.running = false; });
      After(aAt + duration, [this, name] { StartServer(name); });
      break;
    case 2:
      After(aAt, [this, name, duration] {
        const auto daemon = m_hosts.at(name).daemon;
        daemon->frozen = !daemon->dead;
        After(duration, [this, daemon] {
          daemon->frozen = false;
          for (auto& action : std::exchange(daemon->deferred, {})) {
            Deliver(daemon, std::move(action));
          }
        });
      });
      break;
    case 3:
      After(aAt, [this] { m_storeDown = true; });
      After(aAt + duration, [this] { m_storeDown = false; });
      break;
    case 4:
      toggle(&SimulatedLinks::reads);
      toggle(&SimulatedLinks::appends);
      break;
    case 5:
      toggle(&SimulatedLinks::appends);
      toggle(&SimulatedLinks::reports);
      break;
    case 6:
      toggle(&SimulatedLinks::reports);
      break;
    default:
      toggle(&SimulatedLinks::heartbeats);
  }
}

/** All processes fail at once; one host never returns, and a new one joins. */
void
Simulation::CrashAll()
{
  for (auto& [name, host] : m_hosts) {
    KillDaemon(name);
    host.server.running = false;
    host.removed = host.removed || name == "c";
    After(RandomInt(200, 2000), [this, name = name] { StartDaemon(name); });
    After(RandomInt(200, 3000), [this, name = name] { StartServer(name); });
  }
  if (!m_hosts.contains("e")) {
    After(RandomInt(100, 2000), [this] { AddHost("e"); });
  }
}

void
Simulation::EndFaults()
{
  m_faultsEnded = true;
  m_storeDown = false;
  for (auto& [name, host] : m_hosts) {
    host.links = SimulatedLinks{};
    StartDaemon(name);
    StartServer(name);
  }
}

void
Simulation::DeliverReports()
{
  for (const char* to : { "a", "b" }) {
    const auto& coordinator = m_hosts.at(to);
    if (coordinator.daemon->dead || coordinator.daemon->frozen) {
      continue;
    }
    for (const auto& [name, host] : m_hosts) {
      const bool heard = !host.daemon->dead && !host.daemon->frozen &&
                         host.links.reports && coordinator.links.reports;
      if (heard || name == to) {
        coordinator.daemon->lastReportAt[name] =
          LocalTime(coordinator.daemon->rate);
      }
    }
  }
  After(500, [this] { DeliverReports(); });
}

void
Simulation::Tick(const DaemonPtr& aDaemon)
{
  if (aDaemon->dead) {
    return;
  }
  Deliver(aDaemon, [this, aDaemon] {
    CheckReturn(aDaemon);
    ExpireSilentServer(aDaemon);
    if (!m_faultsEnded && RandomInt(0, 29) == 0) {
      RevokeRandomRange(*aDaemon);
    }
    Write(aDaemon);
    if (m_now >= aDaemon->nextRead) {
      aDaemon->nextRead = m_now + kReadInterval;
      Read(aDaemon);
    }
  });
  After(kTickInterval, [this, aDaemon] { Tick(aDaemon); });
}

void
Simulation::Read(const DaemonPtr& aDaemon)
{
  if (aDaemon->reading) {
    return;
  }
  aDaemon->reading = true;
  const auto sentAt = LocalTime(aDaemon->rate);
  const StorePosition from{ aDaemon->era, aDaemon->end };
  After(RandomDelay(), [this, aDaemon, sentAt, from] {
    const bool fails =
      m_storeDown || !m_hosts.at(aDaemon->host).links.reads || FaultOccurs(30);
    if (fails) {
      After(kCallTimeout, [this, aDaemon] {
        Deliver(aDaemon, [aDaemon] { aDaemon->reading = false; });
      });
      return;
    }
    const bool follows = from.era == m_topic.Position().era;
    const auto records = m_topic.From(follows ? from.offset : 0);
    After(RandomDelay(), [this, aDaemon, sentAt, records] {
      Deliver(aDaemon, [this, aDaemon, sentAt, records] {
        aDaemon->reading = false;
        if (records.era < aDaemon->era) {
          return;
        }
        if (records.era > aDaemon->era) {
          BeginEra(*aDaemon, records.era);
        }
        ApplyRecords(*aDaemon, records.entries, records.next);
        RenewLease(*aDaemon, sentAt);
        Join(*aDaemon);
        Write(aDaemon);
      });
    });
  });
}

void
Simulation::ApplyRecords(SimulatedDaemon& aDaemon,
                         const std::vector<StoreEntry>& aEntries,
                         int64_t aNext)
{
  for (const auto& entry : aEntries) {
    if (entry.offset < aDaemon.end) {
      continue;
    }
    try {
      aDaemon.state.Apply(entry);
    } catch (const OutdatedTableError&) {
      continue; // Appended late, in an earlier era.
    }
  }
  aDaemon.end = std::max(aDaemon.end, aNext);
  for (const auto& suspicion : aDaemon.state.Table().suspicions) {
    aDaemon.suspectedAt.try_emplace(suspicion.number, LocalTime(aDaemon.rate));
  }
  const auto* own = aDaemon.state.Table().FindSuspicion(aDaemon.self.host);
  if (own != nullptr && own->number > aDaemon.self.refutedUpTo) {
    aDaemon.self.refutedUpTo = own->number;
    aDaemon.recordDirty = true;
  }
  const bool recordRemoved =
    aDaemon.joined && aDaemon.recordEnd > 0 &&
    aDaemon.state.FindHost(aDaemon.self.host) == nullptr;
  aDaemon.recordDirty = aDaemon.recordDirty || recordRemoved;
}

void
Simulation::RenewLease(SimulatedDaemon& aDaemon, MonoTime aSentAt)
{
  const bool suspected = aDaemon.state.Suspected(aDaemon.self.host);
  if (!suspected || !m_rules.checksSuspicion) {
    aDaemon.lease.Renew(aSentAt);
  }
}

void
Simulation::BeginEra(SimulatedDaemon& aDaemon, StoreEra aEra)
{
  const bool first = aDaemon.era == StoreEra();
  if (!first && aDaemon.Joined() && !aDaemon.earlier) {
    aDaemon.earlier =
      SimulatedDaemon::EarlierState{ std::move(aDaemon.state), aDaemon.lease };
  }
  const auto now = LocalTime(aDaemon.rate);
  const bool hasLease = aDaemon.ActingLease().Remaining(now) > Duration{};
  aDaemon.self.claims.clear();
  if ((hasLease || !m_rules.claimsUnderLease) && aDaemon.earlier &&
      aDaemon.grants.Incarnation()) {
    const auto rows = RowsOf(aDaemon, *aDaemon.grants.Incarnation());
    aDaemon.self.claims = aDaemon.grants.Claims(rows);
    if (!m_rules.claimsHeldOnly) {
      aDaemon.self.claims.clear();
      for (const auto& row : rows) {
        aDaemon.self.claims.push_back({ row.range, row.fence, row.handover });
      }
    }
  }
  aDaemon.self.era = aEra;
  aDaemon.recordDirty = aDaemon.self.epoch > 1;
  aDaemon.repeatsReleases = true;
  aDaemon.state = MeshState(aEra, !first, 0);
  aDaemon.era = aEra;
  aDaemon.eraSince = now;
  aDaemon.end = 0;
  aDaemon.joinEnd = 0;
  aDaemon.recordEnd = 0;
  aDaemon.lease = Lease();
  aDaemon.writing = false;
  aDaemon.toReassign.clear();
  aDaemon.inFlight.clear();
  ++aDaemon.writerEpoch;
  aDaemon.sequence = 0;
  aDaemon.unconfirmed.reset();
}

void
Simulation::CheckReturn(const DaemonPtr& aDaemon)
{
  auto& daemon = *aDaemon;
  if (!daemon.earlier) {
    RepeatReleases(daemon);
    if (!daemon.self.claims.empty() &&
        AreConfirmed(daemon.state.Table(), kOrders, daemon.self.claims)) {
      daemon.self.claims.clear();
      daemon.recordDirty = true;
    }
    return;
  }
  const auto now = LocalTime(daemon.rate);
  const auto& table = daemon.state.Table();
  const bool confirmed = daemon.recordEnd > 0 &&
                         daemon.end >= daemon.recordEnd &&
                         AreConfirmed(table, kOrders, daemon.self.claims);
  const bool settled = table.settled || now - daemon.eraSince >= kMaxSettleTime;
  const bool expired = daemon.earlier->lease.Remaining(now) <= Duration{};
  if (!expired && !(confirmed && settled)) {
    return;
  }
  daemon.earlier.reset();
}

void
Simulation::RepeatReleases(SimulatedDaemon& aDaemon) const
{
  const auto& server = aDaemon.grants.Incarnation();
  if (!aDaemon.repeatsReleases || !server) {
    return;
  }
  aDaemon.repeatsReleases = !aDaemon.state.Table().settled;
  aDaemon.toReassign.push_back(
    RangeRelease{ kOrders,
                  RangeHolder{ aDaemon.self.host, *server },
                  aDaemon.grants.RelinquishedAmong(RowsOf(aDaemon, *server)),
                  std::nullopt });
}

bool
Simulation::ConfirmRows(const SimulatedDaemon& aDaemon,
                        RangeTable& aTable) const
{
  bool changed = ConfirmClaims(aTable, aDaemon.state);
  const auto waited = LocalTime(aDaemon.rate) - aDaemon.eraSince;
  if (!aTable.settled &&
      (aTable.IsConfirmed(kOrders) || waited >= m_rules.settleWait)) {
    aTable.Settle();
    changed = true;
  }
  return changed;
}

void
Simulation::Join(SimulatedDaemon& aDaemon)
{
  if (aDaemon.self.epoch > 1) {
    return;
  }
  aDaemon.self.era = aDaemon.era;
  // Leaves room for the epochs of this process's appends.
  constexpr int64_t kEpochStep = 65536;
  aDaemon.self.epoch = ++m_lastIncarnation * kEpochStep;
  aDaemon.writerEpoch = aDaemon.self.epoch;
  if (const auto* known = aDaemon.state.FindHost(aDaemon.self.host)) {
    aDaemon.self.server = known->server;
    aDaemon.self.refutedUpTo =
      std::max(aDaemon.self.refutedUpTo, known->refutedUpTo);
    if (known->server) {
      aDaemon.grants.Adopt(known->server->incarnation);
    }
  }
  aDaemon.recordDirty = true;
}

void
Simulation::Append(const DaemonPtr& aDaemon,
                   const std::vector<StoreEntry>& aEntries,
                   const AppendCondition& aCondition,
                   const std::function<void(const AppendReply&)>& aDone)
{
  const auto answered = std::make_shared<bool>(false);
  const auto done =
    [this, aDaemon, aDone, answered](const AppendReply& aReply) {
      Deliver(aDaemon, [aDone, answered, aReply] {
        if (!std::exchange(*answered, true)) {
          aDone(aReply);
        }
      });
    };
  After(kCallTimeout, [done] {
    done(AppendReply{ AppendVerdict::kUnknown, 0, 0 });
  });
  if (!m_hosts.at(aDaemon->host).links.appends) {
    return;
  }
  // An append may arrive long after its sender timed out or crashed.
  After(RandomDelay(), [this, aEntries, aCondition, done] {
    if (m_storeDown) {
      done(AppendReply{ AppendVerdict::kRefused, 0, 0 });
      return;
    }
    const auto reply = m_topic.Append(aEntries, aCondition);
    if (!FaultOccurs(15)) {
      After(RandomDelay(), [done, reply] { done(reply); });
    }
  });
}

void
Simulation::WriteRecord(const DaemonPtr& aDaemon)
{
  aDaemon->writing = true;
  aDaemon->recordDirty = false;
  const auto entry = EncodeHost(aDaemon->self);
  if (aDaemon->unconfirmed && *aDaemon->unconfirmed != entry) {
    ++aDaemon->writerEpoch;
    aDaemon->sequence = 0;
    aDaemon->unconfirmed.reset();
  }
  Append(aDaemon,
         { entry },
         WriterPosition{ aDaemon->self.host.Value(),
                         aDaemon->writerEpoch,
                         aDaemon->sequence },
         [this, aDaemon, entry, era = aDaemon->era](const AppendReply& aReply) {
           if (era != aDaemon->era) {
             return;
           }
           aDaemon->writing = false;
           if (aReply.era > era) {
             aDaemon->recordDirty = true;
             Read(aDaemon);
             return;
           }
           if (aReply.verdict == AppendVerdict::kAccepted) {
             ++aDaemon->sequence;
             aDaemon->unconfirmed.reset();
             aDaemon->joinEnd = aDaemon->joined ? aDaemon->joinEnd : aReply.end;
             aDaemon->joined = true;
             aDaemon->recordEnd = aReply.end;
             Read(aDaemon);
             return;
           }
           aDaemon->recordDirty = true;
           if (aReply.verdict == AppendVerdict::kSequenceMismatch) {
             aDaemon->sequence = aReply.sequence;
             aDaemon->unconfirmed.reset();
           } else if (aReply.verdict == AppendVerdict::kUnknown) {
             aDaemon->unconfirmed = entry;
           }
         });
}

void
Simulation::Write(const DaemonPtr& aDaemon)
{
  if (aDaemon->writing || aDaemon->self.epoch <= 1) {
    return;
  }
  if (aDaemon->recordDirty) {
    WriteRecord(aDaemon);
    return;
  }
  TableDraft draft{ aDaemon->state.Table(), {} };
  if (!m_rules.skipsLostFences) {
    draft.table.nextFence %= int64_t{ 1 } << 32U;
  }
  if (!aDaemon->Joined() || !EditTable(*aDaemon, draft)) {
    return;
  }
  ++draft.table.revision;
  draft.table.writtenEra = aDaemon->era;
  if (!m_rules.skipsLostFences) {
    draft.table.nextFence %= int64_t{ 1 } << 32U;
  }
  if (!m_rules.increasesFences) {
    draft.table.nextFence = 1;
  }
  aDaemon->inFlight = std::exchange(aDaemon->toReassign, {});
  aDaemon->draft.clear();
  for (const auto& host : draft.removedHosts) {
    aDaemon->draft.push_back(RemoveHost(host));
  }
  aDaemon->draft.push_back(EncodeTable(draft.table));
  aDaemon->draftAt = aDaemon->end;
  aDaemon->writing = true;
  SendTable(aDaemon);
}

void
Simulation::SendTable(const DaemonPtr& aDaemon)
{
  const auto at = m_rules.conditionalAppends ? aDaemon->draftAt : m_topic.End();
  Append(aDaemon,
         aDaemon->draft,
         ExpectedEnd{ at },
         [this, aDaemon, era = aDaemon->era](const AppendReply& aReply) {
           OnTableReply(aDaemon, era, aReply);
         });
}

void
Simulation::OnTableReply(const DaemonPtr& aDaemon,
                         StoreEra aEra,
                         const AppendReply& aReply)
{
  if (aEra != aDaemon->era) {
    return;
  }
  if (aReply.era > aEra) {
    aDaemon->writing = false;
    aDaemon->inFlight.clear();
    Read(aDaemon);
    return;
  }
  switch (aReply.verdict) {
    case AppendVerdict::kAccepted:
      aDaemon->writing = false;
      aDaemon->inFlight.clear();
      Read(aDaemon);
      break;
    case AppendVerdict::kRefused:
    case AppendVerdict::kUnknown:
      After(200, [this, aDaemon, aEra] {
        Deliver(aDaemon, [this, aDaemon, aEra] {
          if (aEra == aDaemon->era) {
            SendTable(aDaemon);
          }
        });
      });
      break;
    default:
      aDaemon->writing = false;
      aDaemon->toReassign.insert(aDaemon->toReassign.end(),
                                 aDaemon->inFlight.begin(),
                                 aDaemon->inFlight.end());
      aDaemon->inFlight.clear();
      Read(aDaemon);
  }
}

bool
Simulation::EditTable(SimulatedDaemon& aDaemon, TableDraft& aDraft)
{
  bool changed = false;
  for (const auto& release : aDaemon.toReassign) {
    changed =
      ReassignRelinquished(aDraft.table, aDaemon.state, release) || changed;
  }
  const bool isCoordinator = aDaemon.host == "a" || aDaemon.host == "b";
  const bool hasLease =
    aDaemon.ActingLease().Remaining(LocalTime(aDaemon.rate)) > Duration{};
  if (isCoordinator && hasLease) {
    changed = ConfirmRows(aDaemon, aDraft.table) || changed;
  }
  if (aDaemon.earlier) {
    return changed;
  }
  return (isCoordinator && hasLease && Coordinate(aDaemon, aDraft)) || changed;
}

bool
Simulation::Coordinate(SimulatedDaemon& aDaemon, TableDraft& aDraft)
{
  bool changed = false;
  const auto now = LocalTime(aDaemon.rate);
  std::vector<PlacementTarget> targets;
  for (const auto& [name, host] : aDaemon.state.Hosts()) {
    const auto at =
      aDaemon.lastReportAt.try_emplace(name.Value(), now).first->second;
    if (now - at < kHostTimeout) {
      if (aDaemon.state.CanTakeKeys(host)) {
        targets.push_back(PlacementTarget{
          RangeHolder{ name, host.server->incarnation }, 1.0 });
      }
    } else if (!aDaemon.state.Suspected(name)) {
      aDraft.table.DropSuspicion(name);
      aDraft.table.Suspect(name);
      changed = true;
    }
  }
  for (const auto& row : aDaemon.state.Table().RowsOf(kOrders)) {
    const auto& holder = row.holder.host;
    if (!row.IsFree() && !row.unconfirmed && !aDaemon.state.Suspected(holder) &&
        aDaemon.state.FindHost(holder) == nullptr) {
      aDraft.table.Suspect(holder);
      changed = true;
    }
  }
  for (const auto& suspicion : aDaemon.state.Table().suspicions) {
    const auto seen = aDaemon.suspectedAt.find(suspicion.number);
    if (seen == aDaemon.suspectedAt.end() ||
        now - seen->second < m_rules.takeoverWait ||
        !aDaemon.state.Suspected(suspicion.host)) {
      continue;
    }
    for (const auto& row : aDaemon.state.Table().RowsOf(kOrders)) {
      if (row.holder.host == suspicion.host && !row.unconfirmed) {
        aDraft.table.Free(kOrders, row.range, {});
      }
    }
    aDraft.table.DropSuspicion(suspicion.host);
    aDraft.removedHosts.push_back(suspicion.host);
    changed = true;
  }
  const auto& rows = aDraft.table.RowsOf(kOrders);
  const bool free =
    std::any_of(rows.begin(), rows.end(), [&](const RangeRow& aRow) {
      return aDaemon.state.MayReassign(aRow);
    });
  return (free &&
          AssignFreeRows(
            aDraft.table, aDaemon.state, kOrders, targets, LoadMap(1.0))) ||
         changed;
}

std::vector<RangeRow>
Simulation::RowsOf(const SimulatedDaemon& aDaemon,
                   const ServerIncarnation& aIncarnation) const
{
  std::vector<RangeRow> rows;
  for (const auto& row : aDaemon.Acting().Table().RowsOf(kOrders)) {
    if (row.holder == RangeHolder{ aDaemon.self.host, aIncarnation } &&
        !(row.unconfirmed && m_rules.requiresConfirmation)) {
      rows.push_back(row);
      rows.back().unconfirmed = false;
    }
  }
  const auto& own = aDaemon.self.server;
  if (!aDaemon.earlier && own && own->incarnation == aIncarnation) {
    const auto pending =
      UnconfirmedClaims(aDaemon.state.Table(),
                        kOrders,
                        RangeHolder{ aDaemon.self.host, aIncarnation },
                        aDaemon.self.claims);
    rows.insert(rows.end(), pending.begin(), pending.end());
  }
  return rows;
}

void
Simulation::QueueRelinquished(const DaemonPtr& aDaemon)
{
  const RangeRelease release{ kOrders,
                              RangeHolder{ aDaemon->self.host,
                                           *aDaemon->grants.Incarnation() },
                              aDaemon->grants.TakeRelinquished(),
                              std::nullopt };
  if (release.ranges.empty()) {
    return;
  }
  if (FaultOccurs(2)) {
    aDaemon->toReassign.push_back(release);
  } else {
    SendRelease(aDaemon, release);
  }
}

void
Simulation::SendRelease(const DaemonPtr& aDaemon, const RangeRelease& aRelease)
{
  auto sent = aRelease;
  if (m_rules.checksReleaseEpoch) {
    sent.epoch = aDaemon->self.epoch;
  }
  // It may arrive long after its sender was restarted, or never.
  if (!FaultOccurs(8)) {
    After(FaultOccurs(4) ? RandomInt(100, 4000) : RandomDelay(), [this, sent] {
      const auto& coordinator = m_hosts.at("a").daemon;
      if (coordinator && !coordinator->dead) {
        coordinator->toReassign.push_back(sent);
      }
    });
  }
  After(kReleaseTimeout, [this, aDaemon, aRelease] {
    Deliver(aDaemon, [aDaemon, aRelease] {
      if (HoldsReleased(aDaemon->Acting().Table(), aRelease)) {
        aDaemon->toReassign.push_back(aRelease);
      }
    });
  });
}

void
Simulation::RevokeRandomRange(SimulatedDaemon& aDaemon)
{
  if (!aDaemon.Joined() || !aDaemon.grants.Incarnation()) {
    return;
  }
  const auto rows = RowsOf(aDaemon, *aDaemon.grants.Incarnation());
  if (rows.empty()) {
    return;
  }
  const auto& row = rows[static_cast<size_t>(
    RandomInt(0, static_cast<int64_t>(rows.size()) - 1))];
  const auto first =
    static_cast<uint32_t>(RandomInt(row.range.first, row.range.last));
  const KeyRange part{ first, row.range.last };
  aDaemon.grants.Revoke(part, row.fence, std::nullopt);
  if (!m_rules.waitsForRelease) {
    aDaemon.toReassign.push_back(
      RangeRelease{ kOrders,
                    row.holder,
                    { Relinquished{ part, row.fence, {}, std::nullopt } },
                    std::nullopt });
  }
}

void
Simulation::ExpireSilentServer(const DaemonPtr& aDaemon)
{
  const auto now = LocalTime(aDaemon->rate);
  auto& server = aDaemon->self.server;
  const bool silent = now - aDaemon->lastHeartbeat >= kServerTimeout;
  const bool expired =
    aDaemon->grants.HoldsExpired(now) || !m_rules.waitsForHolds;
  if (!aDaemon->Joined() || !silent || !expired || !server ||
      server->state == ServerState::kSilent) {
    return;
  }
  server->state = ServerState::kSilent;
  aDaemon->recordDirty = true;
  aDaemon->grants.Adopt(server->incarnation);
  aDaemon->grants.RelinquishExpired(RowsOf(*aDaemon, server->incarnation));
  QueueRelinquished(aDaemon);
}

void
Simulation::SendHeartbeat(const std::string& aHost)
{
  After(kHeartbeatInterval, [this, aHost] { SendHeartbeat(aHost); });
  auto& host = m_hosts.at(aHost);
  auto& server = host.server;
  if (!server.running) {
    return;
  }
  RunRequests(host);
  ServerHeartbeat heartbeat;
  heartbeat.incarnation = IncarnationOf(server.name, server.startedAt);
  heartbeat.service = kOrders;
  heartbeat.slots = 9;
  heartbeat.sequence = ++server.sequence;
  heartbeat.holds.emplace();
  const auto now = LocalTime(server.rate);
  for (const auto& hold : server.holds) {
    if (hold.endsAt > now) {
      heartbeat.holds->push_back({ hold.range, hold.fence });
    }
  }
  for (const auto& request : server.requests) {
    heartbeat.holds->push_back(
      { { request.key.Value(), request.key.Value() }, Fence() });
  }
  if (!host.links.heartbeats || FaultOccurs(25)) {
    return;
  }
  const auto daemon = host.daemon;
  After(RandomDelay(), [this, aHost, daemon, heartbeat, now] {
    Deliver(daemon, [this, aHost, daemon, heartbeat, now] {
      const auto reply = OnHeartbeat(daemon, heartbeat);
      After(RandomDelay(), [this, aHost, heartbeat, now, reply] {
        auto& receiver = m_hosts.at(aHost);
        if (receiver.server.running &&
            receiver.server.startedAt ==
              heartbeat.incarnation.startedAt.time_since_epoch().count()) {
          OnReply(receiver, heartbeat.sequence, now, reply);
        }
      });
    });
  });
}

HeartbeatReply
Simulation::OnHeartbeat(const DaemonPtr& aDaemon,
                        const ServerHeartbeat& aHeartbeat)
{
  auto& daemon = *aDaemon;
  if (!daemon.Joined() || daemon.grants.IsStale(aHeartbeat)) {
    return {};
  }
  const auto now = LocalTime(daemon.rate);
  daemon.lastHeartbeat = now;
  const auto lease =
    m_rules.checksLease ? daemon.ActingLease().Remaining(now) : kLeaseTime;
  auto reply = daemon.grants.OnHeartbeat(
    aHeartbeat, RowsOf(daemon, aHeartbeat.incarnation), lease, now);
  const ServerStatus status{ aHeartbeat.incarnation,
                             aHeartbeat.slots,
                             ServerState::kReady };
  if (daemon.self.server != status) {
    const bool same = daemon.self.server &&
                      daemon.self.server->incarnation == status.incarnation;
    if (!same) {
      daemon.self.claims.clear();
    }
    daemon.self.server = status;
    daemon.recordDirty = true;
  }
  QueueRelinquished(aDaemon);
  Write(aDaemon);
  return reply;
}

void
Simulation::OnReply(Host& aHost,
                    int64_t aSequence,
                    MonoTime aSentAt,
                    const HeartbeatReply& aReply)
{
  auto& server = aHost.server;
  if (!aReply.renews || aSequence <= server.lastReply) {
    return;
  }
  server.lastReply = aSequence;
  const auto endsAt = aSentAt + aReply.holdTime;
  if (endsAt <= LocalTime(server.rate)) {
    return; // The reply arrived after the hold had ended.
  }
  server.holds.clear();
  for (const auto& granted : aReply.ranges) {
    server.holds.push_back({ granted.range, granted.fence, endsAt });
  }
  for (const auto& hold : server.holds) {
    CheckExclusive(aHost, hold);
  }
}

void
Simulation::RunRequests(Host& aHost)
{
  auto& server = aHost.server;
  const auto now = LocalTime(server.rate);
  std::erase_if(server.requests, [&](const SimulatedServer::Request& aRequest) {
    return aRequest.endsAt <= now || aRequest.holdEndsAt <= now;
  });
  for (const auto& hold : server.holds) {
    for (uint32_t index = 0; index < kSampledKeys; ++index) {
      const auto key = SampledKey(index);
      if (hold.endsAt > now && hold.range.Contains(key) &&
          RandomInt(0, 3) == 0) {
        server.requests.push_back(
          { key, now + milliseconds(RandomInt(20, 2500)), hold.endsAt });
      }
    }
  }
}

void
Simulation::CheckExclusive(const Host& aHost,
                           const SimulatedServer::Hold& aHold)
{
  for (uint32_t index = 0; index < kSampledKeys; ++index) {
    const auto key = SampledKey(index);
    if (!aHold.range.Contains(key)) {
      continue;
    }
    const auto incarnation =
      aHost.server.name + "/" + std::to_string(aHost.server.startedAt);
    auto& [fence, holder] = m_fences[key.Value()];
    if (holder != incarnation && aHold.fence.Value() <= fence) {
      m_violation =
        "a key was granted under a fence that is not above the previous one";
    }
    fence = std::max(fence, aHold.fence.Value());
    holder = incarnation;
    for (const auto& [name, other] : m_hosts) {
      if (&other == &aHost || !other.server.running) {
        continue;
      }
      const auto now = LocalTime(other.server.rate);
      for (const auto& hold : other.server.holds) {
        if (hold.endsAt > now && hold.range.Contains(key)) {
          m_violation = fmt::format(
            "two backend servers hold the same key: {}, {}", incarnation, name);
        }
      }
      for (const auto& request : other.server.requests) {
        if (request.key == key && request.endsAt > now &&
            request.holdEndsAt > now) {
          m_violation = "a key was granted while another backend server runs a "
                        "request for it";
        }
      }
    }
  }
}

bool
Simulation::AllKeysHeld() const
{
  for (uint32_t index = 0; index < kSampledKeys; ++index) {
    const auto key = SampledKey(index);
    const bool held =
      std::any_of(m_hosts.begin(), m_hosts.end(), [&](const auto& aItem) {
        const auto& server = aItem.second.server;
        return server.running &&
               std::any_of(server.holds.begin(),
                           server.holds.end(),
                           [&](const SimulatedServer::Hold& aHold) {
                             return aHold.endsAt > LocalTime(server.rate) &&
                                    aHold.range.Contains(key);
                           });
      });
    if (!held) {
      return false;
    }
  }
  return true;
}

}
