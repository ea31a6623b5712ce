#include "test/Ranges/WorldSupport.h"

#include <algorithm>

#include <fmt/format.h>

namespace pistachioshift::test {

namespace {

constexpr int64_t kFaultsUntil = 40000; // ms
constexpr int64_t kLength = 75000;      // ms
constexpr int64_t kTick = 100;          // ms
constexpr int64_t kReadInterval = 1000; // ms
constexpr int64_t kBeatInterval = 900;  // ms
constexpr int64_t kCallTimeout = 700;   // ms
constexpr Duration kSilence = milliseconds(3000);
constexpr Duration kServerSilence = milliseconds(2900);
constexpr uint32_t kSampledKeys = 32;
constexpr int64_t kSkew = 5;   // Permille, of a daemon's clock.
constexpr int64_t kDrift = 20; // Permille, of a backend server's clock.

ShardKey
SampledKey(uint32_t aIndex)
{
  constexpr uint32_t kStep = kShardKeys / kSampledKeys;
  return ShardKey(aIndex * kStep + kStep / 2);
}

}

World::World(uint32_t aSeed, const WorldRules& aRules)
  : m_random(aSeed)
  , m_rules(aRules)
{
}

int64_t
World::Draw(int64_t aLeast, int64_t aMost)
{
  return std::uniform_int_distribution<int64_t>(aLeast, aMost)(m_random);
}

void
World::After(int64_t aMillis, std::function<void()> aAction)
{
  m_events.emplace(m_now + aMillis, std::move(aAction));
}

void
World::Deliver(const DaemonPtr& aDaemon, std::function<void()> aAction)
{
  if (aDaemon->frozen) {
    aDaemon->deferred.push_back(std::move(aAction));
  } else if (!aDaemon->dead) {
    aAction();
  }
}

MonoTime
World::Local(double aRate) const
{
  const auto millis = static_cast<double>(m_now) * aRate;
  return MonoTime(std::chrono::hours(1)) +
         std::chrono::microseconds(static_cast<int64_t>(millis * 1000.0));
}

int64_t
World::Delay()
{
  return Fails(20) ? Draw(200, 2500) : Draw(1, 30);
}

bool
World::Fails(int64_t aOneIn)
{
  return !m_healed && Draw(1, aOneIn) == 1;
}

std::string
World::Play()
{
  for (const char* name : { "a", "b", "c", "d" }) {
    AddHost(name);
  }
  After(1, [this] { Reports(); });
  PlanFaults();
  After(kFaultsUntil + 10000, [this] { Heal(); });
  while (m_broken.empty() && !m_events.empty() &&
         m_events.begin()->first <= kLength) {
    const auto next = m_events.begin();
    m_now = next->first;
    const auto action = std::move(next->second);
    m_events.erase(next);
    action();
  }
  if (m_broken.empty() && !AllHeld()) {
    m_broken = kNotServed;
  }
  return m_broken;
}

void
World::AddHost(const std::string& aName)
{
  m_hosts[aName].server.name = "server-" + aName;
  m_hosts[aName].server.rate =
    1.0 + static_cast<double>(Draw(-kDrift, kDrift)) / 1000.0;
  StartDaemon(aName);
  StartServer(aName);
  After(Draw(1, kBeatInterval), [this, aName] { Beat(aName); });
}

void
World::StartDaemon(const std::string& aHost)
{
  auto& host = m_hosts.at(aHost);
  if (host.gone || (host.daemon && !host.daemon->dead)) {
    return;
  }
  const double rate = 1.0 + static_cast<double>(Draw(-kSkew, kSkew)) / 1000.0;
  const auto daemon = std::make_shared<WorldDaemon>(aHost, Local(rate));
  daemon->rate = rate;
  daemon->self = RecordOf(aHost);
  daemon->self.server.reset();
  host.daemon = daemon;
  After(Draw(1, kTick), [this, daemon] { Tick(daemon); });
}

void
World::KillDaemon(const std::string& aHost)
{
  if (const auto& daemon = m_hosts.at(aHost).daemon) {
    daemon->dead = true;
    daemon->frozen = false;
  }
}

void
World::StartServer(const std::string& aHost)
{
  auto& host = m_hosts.at(aHost);
  if (host.gone || host.server.up) {
    return;
  }
  host.server.up = true;
  host.server.startedAt = ++m_births;
  host.server.sequence = 0;
  host.server.answered = 0;
  host.server.holds.clear();
  host.server.works.clear();
}

void
World::PlanFaults()
{
  const auto count = Draw(2, 8);
  for (int64_t fault = 0; fault < count; ++fault) {
    PlanFault(Draw(3000, kFaultsUntil));
  }
  if (Draw(0, 3) == 0) {
    After(Draw(10000, kFaultsUntil), [this] { LoseAll(); });
  }
}

void
World::PlanFault(int64_t aAt)
{
  const auto name = std::string(1, static_cast<char>('a' + Draw(0, 3)));
  const auto length = Draw(200, 9000);
  const auto toggle = [&](bool WorldLinks::*aLink) {
    After(aAt, [this, name, aLink] { m_hosts.at(name).links.*aLink = false; });
    After(aAt + length,
          [this, name, aLink] { m_hosts.at(name).links.*aLink = true; });
  };
  switch (Draw(0, 7)) {
    case 0:
      After(aAt, [this, name] { KillDaemon(name); });
      After(aAt + length, [this, name] { StartDaemon(name); });
      break;
    case 1:
      After(aAt, [this, name] { m_hosts.at(name).server.up = false; });
      After(aAt + length, [this, name] { StartServer(name); });
      break;
    case 2:
      After(aAt, [this, name, length] {
        const auto daemon = m_hosts.at(name).daemon;
        daemon->frozen = !daemon->dead;
        After(length, [this, daemon] {
          daemon->frozen = false;
          for (auto& action : std::exchange(daemon->deferred, {})) {
            Deliver(daemon, std::move(action));
          }
        });
      });
      break;
    case 3:
      After(aAt, [this] { m_storeDown = true; });
      After(aAt + length, [this] { m_storeDown = false; });
      break;
    case 4:
      toggle(&WorldLinks::reads);
      toggle(&WorldLinks::appends);
      break;
    case 5:
      toggle(&WorldLinks::appends);
      toggle(&WorldLinks::reports);
      break;
    case 6:
      toggle(&WorldLinks::reports);
      break;
    default:
      toggle(&WorldLinks::heartbeats);
  }
}

/** All processes at once; one host never returns, a new one comes. */
void
World::LoseAll()
{
  for (auto& [name, host] : m_hosts) {
    KillDaemon(name);
    host.server.up = false;
    host.gone = host.gone || name == "c";
    After(Draw(200, 2000), [this, name = name] { StartDaemon(name); });
    After(Draw(200, 3000), [this, name = name] { StartServer(name); });
  }
  if (!m_hosts.contains("e")) {
    After(Draw(100, 2000), [this] { AddHost("e"); });
  }
}

void
World::Heal()
{
  m_healed = true;
  m_storeDown = false;
  for (auto& [name, host] : m_hosts) {
    host.links = WorldLinks{};
    StartDaemon(name);
    StartServer(name);
  }
}

void
World::Reports()
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
        coordinator.daemon->heardAt[name] = Local(coordinator.daemon->rate);
      }
    }
  }
  After(500, [this] { Reports(); });
}

void
World::Tick(const DaemonPtr& aDaemon)
{
  if (aDaemon->dead) {
    return;
  }
  Deliver(aDaemon, [this, aDaemon] {
    SilentServer(*aDaemon);
    if (!m_healed && Draw(0, 29) == 0) {
      MoveSomething(*aDaemon);
    }
    Write(aDaemon);
    if (m_now >= aDaemon->nextRead) {
      aDaemon->nextRead = m_now + kReadInterval;
      Read(aDaemon);
    }
  });
  After(kTick, [this, aDaemon] { Tick(aDaemon); });
}

void
World::Read(const DaemonPtr& aDaemon)
{
  if (aDaemon->reading) {
    return;
  }
  aDaemon->reading = true;
  const auto sentAt = Local(aDaemon->rate);
  After(Delay(), [this, aDaemon, sentAt] {
    const bool fails =
      m_storeDown || !m_hosts.at(aDaemon->host).links.reads || Fails(30);
    if (fails) {
      After(kCallTimeout, [this, aDaemon] {
        Deliver(aDaemon, [aDaemon] { aDaemon->reading = false; });
      });
      return;
    }
    const auto records = m_topic.From(aDaemon->end);
    After(Delay(), [this, aDaemon, sentAt, records] {
      Deliver(aDaemon, [this, aDaemon, sentAt, records] {
        aDaemon->reading = false;
        Take(*aDaemon, records.entries, records.next);
        Confirm(*aDaemon, sentAt);
        Join(*aDaemon);
        Write(aDaemon);
      });
    });
  });
}

void
World::Take(WorldDaemon& aDaemon,
            const std::vector<StoreEntry>& aEntries,
            int64_t aNext)
{
  for (const auto& entry : aEntries) {
    if (entry.offset >= aDaemon.end) {
      aDaemon.state.Apply(entry);
    }
  }
  aDaemon.end = std::max(aDaemon.end, aNext);
  for (const auto& suspicion : aDaemon.state.Table().suspicions) {
    aDaemon.suspectedAt.try_emplace(suspicion.number, Local(aDaemon.rate));
  }
  const auto* own = aDaemon.state.Table().FindSuspicion(aDaemon.self.host);
  if (own != nullptr && own->number > aDaemon.self.refutedUpTo) {
    aDaemon.self.refutedUpTo = own->number;
    aDaemon.recordDirty = true;
  }
  const bool dropped =
    aDaemon.joined && aDaemon.state.FindHost(aDaemon.self.host) == nullptr;
  aDaemon.recordDirty = aDaemon.recordDirty || dropped;
}

void
World::Confirm(WorldDaemon& aDaemon, MonoTime aSentAt)
{
  const bool suspected = aDaemon.state.Suspected(aDaemon.self.host);
  if (!suspected || !m_rules.heedsSuspicion) {
    aDaemon.lease.Renew(aSentAt);
  }
}

void
World::Join(WorldDaemon& aDaemon)
{
  if (aDaemon.self.epoch > 1) {
    return;
  }
  aDaemon.self.epoch = ++m_births;
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
World::Append(const DaemonPtr& aDaemon,
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
  // It may land long after its sender has given up, or died.
  After(Delay(), [this, aEntries, aCondition, done] {
    if (m_storeDown) {
      done(AppendReply{ AppendVerdict::kRefused, 0, 0 });
      return;
    }
    const auto reply = m_topic.Append(aEntries, aCondition);
    if (!Fails(15)) {
      After(Delay(), [done, reply] { done(reply); });
    }
  });
}

void
World::WriteRecord(const DaemonPtr& aDaemon)
{
  aDaemon->writing = true;
  aDaemon->recordDirty = false;
  const auto& self = aDaemon->self;
  Append(aDaemon,
         { EncodeHost(self) },
         WriterPosition{ self.host.Value(), self.epoch, aDaemon->sequence },
         [this, aDaemon](const AppendReply& aReply) {
           aDaemon->writing = false;
           if (aReply.verdict == AppendVerdict::kAccepted) {
             ++aDaemon->sequence;
             aDaemon->joinEnd = aDaemon->joined ? aDaemon->joinEnd : aReply.end;
             aDaemon->joined = true;
             Read(aDaemon);
             return;
           }
           aDaemon->recordDirty = true;
           if (aReply.verdict == AppendVerdict::kSequenceMismatch) {
             aDaemon->sequence = aReply.sequence;
           }
         });
}

void
World::Write(const DaemonPtr& aDaemon)
{
  if (aDaemon->writing || aDaemon->self.epoch <= 1) {
    return;
  }
  if (aDaemon->recordDirty) {
    WriteRecord(aDaemon);
    return;
  }
  TableDraft draft{ aDaemon->state.Table(), {} };
  if (!aDaemon->Joined() || !Edit(*aDaemon, draft)) {
    return;
  }
  ++draft.table.revision;
  if (!m_rules.freshFences) {
    draft.table.nextFence = 1;
  }
  aDaemon->inFlight = std::exchange(aDaemon->toHandOn, {});
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
World::SendTable(const DaemonPtr& aDaemon)
{
  const auto at = m_rules.conditional ? aDaemon->draftAt : m_topic.End();
  Append(
    aDaemon,
    aDaemon->draft,
    ExpectedEnd{ at },
    [this, aDaemon](const AppendReply& aReply) { OnTable(aDaemon, aReply); });
}

void
World::OnTable(const DaemonPtr& aDaemon, const AppendReply& aReply)
{
  switch (aReply.verdict) {
    case AppendVerdict::kAccepted:
      aDaemon->writing = false;
      aDaemon->inFlight.clear();
      Read(aDaemon);
      break;
    case AppendVerdict::kRefused:
    case AppendVerdict::kUnknown:
      After(200, [this, aDaemon] {
        Deliver(aDaemon, [this, aDaemon] { SendTable(aDaemon); });
      });
      break;
    default:
      aDaemon->writing = false;
      aDaemon->toHandOn.insert(aDaemon->toHandOn.end(),
                               aDaemon->inFlight.begin(),
                               aDaemon->inFlight.end());
      aDaemon->inFlight.clear();
      Read(aDaemon);
  }
}

bool
World::Edit(WorldDaemon& aDaemon, TableDraft& aDraft)
{
  bool changed = false;
  for (const auto& [holder, item] : aDaemon.toHandOn) {
    changed = ReassignRelinquished(
                aDraft.table, aDaemon.state, kOrders, holder, { item }) ||
              changed;
  }
  const bool leads = aDaemon.host == "a" || aDaemon.host == "b";
  const bool may = aDaemon.lease.Remaining(Local(aDaemon.rate)) > Duration{};
  return (leads && may && Coordinate(aDaemon, aDraft)) || changed;
}

bool
World::Coordinate(WorldDaemon& aDaemon, TableDraft& aDraft)
{
  bool changed = false;
  const auto now = Local(aDaemon.rate);
  std::vector<PlacementTarget> targets;
  for (const auto& [name, host] : aDaemon.state.Hosts()) {
    const auto at =
      aDaemon.heardAt.try_emplace(name.Value(), now).first->second;
    if (now - at < kSilence) {
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
  for (const auto& suspicion : aDaemon.state.Table().suspicions) {
    const auto seen = aDaemon.suspectedAt.find(suspicion.number);
    if (seen == aDaemon.suspectedAt.end() ||
        now - seen->second < m_rules.takeoverWait ||
        !aDaemon.state.Suspected(suspicion.host)) {
      continue;
    }
    for (const auto& row : aDaemon.state.Table().RowsOf(kOrders)) {
      if (row.holder.host == suspicion.host) {
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
      return aDaemon.state.HolderOf(aRow) == nullptr;
    });
  return (free &&
          AssignFreeRows(
            aDraft.table, aDaemon.state, kOrders, targets, LoadMap(1.0))) ||
         changed;
}

std::vector<RangeRow>
World::RowsOf(const WorldDaemon& aDaemon,
              const ServerIncarnation& aIncarnation) const
{
  std::vector<RangeRow> rows;
  for (const auto& row : aDaemon.state.Table().RowsOf(kOrders)) {
    if (row.holder == RangeHolder{ aDaemon.self.host, aIncarnation }) {
      rows.push_back(row);
    }
  }
  return rows;
}

void
World::HandOnLater(WorldDaemon& aDaemon)
{
  for (auto& item : aDaemon.grants.TakeRelinquished()) {
    aDaemon.toHandOn.emplace_back(
      RangeHolder{ aDaemon.self.host, *aDaemon.grants.Incarnation() }, item);
  }
}

void
World::MoveSomething(WorldDaemon& aDaemon)
{
  if (!aDaemon.Joined() || !aDaemon.grants.Incarnation()) {
    return;
  }
  const auto rows = RowsOf(aDaemon, *aDaemon.grants.Incarnation());
  if (rows.empty()) {
    return;
  }
  const auto& row =
    rows[static_cast<size_t>(Draw(0, static_cast<int64_t>(rows.size()) - 1))];
  const auto first =
    static_cast<uint32_t>(Draw(row.range.first, row.range.last));
  const KeyRange part{ first, row.range.last };
  aDaemon.grants.Revoke(part, row.fence, std::nullopt);
  if (!m_rules.waitsForRelease) {
    aDaemon.toHandOn.emplace_back(
      row.holder, Relinquished{ part, row.fence, {}, std::nullopt });
  }
}

void
World::SilentServer(WorldDaemon& aDaemon)
{
  const auto now = Local(aDaemon.rate);
  auto& server = aDaemon.self.server;
  const bool silent = now - aDaemon.lastHeartbeat >= kServerSilence;
  const bool over = aDaemon.grants.HoldsExpired(now) || !m_rules.waitsForHolds;
  if (!aDaemon.Joined() || !silent || !over || !server ||
      server->state == ServerState::kSilent) {
    return;
  }
  server->state = ServerState::kSilent;
  aDaemon.recordDirty = true;
  aDaemon.grants.Adopt(server->incarnation);
  aDaemon.grants.RelinquishExpired(RowsOf(aDaemon, server->incarnation));
  HandOnLater(aDaemon);
}

void
World::Beat(const std::string& aHost)
{
  After(kBeatInterval, [this, aHost] { Beat(aHost); });
  auto& host = m_hosts.at(aHost);
  auto& server = host.server;
  if (!server.up) {
    return;
  }
  Work(host);
  ServerHeartbeat beat;
  beat.incarnation = IncarnationOf(server.name, server.startedAt);
  beat.service = kOrders;
  beat.slots = 9;
  beat.sequence = ++server.sequence;
  beat.holds.emplace();
  const auto now = Local(server.rate);
  for (const auto& hold : server.holds) {
    if (hold.ends > now) {
      beat.holds->push_back({ hold.range, hold.fence });
    }
  }
  for (const auto& work : server.works) {
    beat.holds->push_back({ { work.key.Value(), work.key.Value() }, Fence() });
  }
  if (!host.links.heartbeats || Fails(25)) {
    return;
  }
  const auto daemon = host.daemon;
  After(Delay(), [this, aHost, daemon, beat, now] {
    Deliver(daemon, [this, aHost, daemon, beat, now] {
      const auto reply = OnBeat(daemon, beat);
      After(Delay(), [this, aHost, beat, now, reply] {
        auto& taker = m_hosts.at(aHost);
        if (taker.server.up &&
            taker.server.startedAt ==
              beat.incarnation.startedAt.time_since_epoch().count()) {
          OnReply(taker, beat.sequence, now, reply);
        }
      });
    });
  });
}

HeartbeatReply
World::OnBeat(const DaemonPtr& aDaemon, const ServerHeartbeat& aBeat)
{
  auto& daemon = *aDaemon;
  if (!daemon.Joined() || daemon.grants.IsStale(aBeat)) {
    return {};
  }
  const auto now = Local(daemon.rate);
  daemon.lastHeartbeat = now;
  const auto lease =
    m_rules.heedsLease ? daemon.lease.Remaining(now) : kLeaseTime;
  auto reply = daemon.grants.OnHeartbeat(
    aBeat, RowsOf(daemon, aBeat.incarnation), lease, now);
  const ServerStatus live{ aBeat.incarnation,
                           aBeat.slots,
                           ServerState::kReady };
  if (daemon.self.server != live) {
    daemon.self.server = live;
    daemon.recordDirty = true;
  }
  HandOnLater(daemon);
  Write(aDaemon);
  return reply;
}

void
World::OnReply(Host& aHost,
               int64_t aSequence,
               MonoTime aSentAt,
               const HeartbeatReply& aReply)
{
  auto& server = aHost.server;
  if (!aReply.renews || aSequence <= server.answered) {
    return;
  }
  server.answered = aSequence;
  const auto ends = aSentAt + aReply.holdTime;
  if (ends <= Local(server.rate)) {
    return; // It came too late.
  }
  server.holds.clear();
  for (const auto& granted : aReply.ranges) {
    server.holds.push_back({ granted.range, granted.fence, ends });
  }
  for (const auto& hold : server.holds) {
    CheckTaken(aHost, hold);
  }
}

void
World::Work(Host& aHost)
{
  auto& server = aHost.server;
  const auto now = Local(server.rate);
  std::erase_if(server.works, [&](const WorldServer::Work& aWork) {
    return aWork.ends <= now || aWork.holdEnds <= now;
  });
  for (const auto& hold : server.holds) {
    for (uint32_t index = 0; index < kSampledKeys; ++index) {
      const auto key = SampledKey(index);
      if (hold.ends > now && hold.range.Contains(key) && Draw(0, 3) == 0) {
        server.works.push_back(
          { key, now + milliseconds(Draw(20, 2500)), hold.ends });
      }
    }
  }
}

void
World::CheckTaken(const Host& aTaker, const WorldServer::Hold& aHold)
{
  for (uint32_t index = 0; index < kSampledKeys; ++index) {
    const auto key = SampledKey(index);
    if (!aHold.range.Contains(key)) {
      continue;
    }
    const auto incarnation =
      aTaker.server.name + "/" + std::to_string(aTaker.server.startedAt);
    auto& [fence, holder] = m_fences[key.Value()];
    if (holder != incarnation && aHold.fence.Value() <= fence) {
      m_broken = "a key was taken under a fence that isn't above the last";
    }
    fence = std::max(fence, aHold.fence.Value());
    holder = incarnation;
    for (const auto& [name, other] : m_hosts) {
      if (&other == &aTaker || !other.server.up) {
        continue;
      }
      const auto now = Local(other.server.rate);
      for (const auto& hold : other.server.holds) {
        if (hold.ends > now && hold.range.Contains(key)) {
          m_broken = fmt::format(
            "two backend servers hold a key: {}, {}", incarnation, name);
        }
      }
      for (const auto& work : other.server.works) {
        if (work.key == key && work.ends > now && work.holdEnds > now) {
          m_broken = "a key was taken while another works on it";
        }
      }
    }
  }
}

bool
World::AllHeld() const
{
  for (uint32_t index = 0; index < kSampledKeys; ++index) {
    const auto key = SampledKey(index);
    const bool held =
      std::any_of(m_hosts.begin(), m_hosts.end(), [&](const auto& aItem) {
        const auto& server = aItem.second.server;
        return server.up &&
               std::any_of(server.holds.begin(),
                           server.holds.end(),
                           [&](const WorldServer::Hold& aHold) {
                             return aHold.ends > Local(server.rate) &&
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
