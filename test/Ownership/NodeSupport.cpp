#include "test/Ownership/NodeSupport.h"

#include <algorithm>

#include "src/Ownership/WitnessSelection.h"
#include "test/Ownership/TraceSupport.h"

namespace pistachioshift {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint32_t kRanges = 2;
constexpr const char* kHot = "hot";

// Just under half the drift bound in either direction, so that any two clocks
// stay within the bound of each other.
constexpr double kMaxClockRateError = 0.0049;

}

Mesh::Mesh(const MeshOptions& aOptions)
  : random(aOptions.seed)
  , m_options(aOptions)
  , m_slots(aOptions.daemons)
{
  m_settings = aOptions.settings;
  for (uint32_t range = 0; range < kRanges; ++range) {
    for (const auto& service : { kRegistry, kStamps }) {
      m_keys.push_back({ service, RangeIndex(range), "cold" });
    }
    m_keys.push_back({ kStamps, RangeIndex(range), kHot });
  }
  for (auto& slot : m_slots) {
    slot.rate = 1.0 + kMaxClockRateError * (2.0 * DrawUniform() - 1.0);
  }
  if (aOptions.formed) {
    Form(aOptions.daemons);
    return;
  }
  for (size_t slot = 0; slot < aOptions.daemons; ++slot) {
    Schedule(DrawBetween({}, milliseconds(600)),
             [this, slot] { Start(slot, false); });
  }
}

void
Mesh::Form(size_t aDaemons)
{
  std::vector<DaemonId> ids;
  for (size_t slot = 0; slot < aDaemons; ++slot) {
    AppendToLog(JoinOf(slot));
    ids.emplace_back(m_view.Applied().Value());
  }
  for (const auto id : ids) {
    AppendToLog(
      WitnessSetRecord{ id, {}, SelectWitnesses(m_view, id, {}, {}, random) });
  }
  AssignUnheld();
  for (size_t slot = 0; slot < aDaemons; ++slot) {
    CreateNode(slot, ids[slot], m_log.size());
  }
}

void
Mesh::Schedule(Duration aIn, std::function<void()> aRun)
{
  m_events.push(Event{ m_now + aIn, ++m_order, std::move(aRun) });
}

double
Mesh::DrawUniform()
{
  return std::uniform_real_distribution<>(0.0, 1.0)(random);
}

Duration
Mesh::DrawBetween(Duration aLeast, Duration aMost)
{
  return std::chrono::duration_cast<Duration>(aLeast +
                                              (aMost - aLeast) * DrawUniform());
}

size_t
Mesh::DrawIndex(size_t aCount)
{
  return std::uniform_int_distribution<size_t>(0, aCount - 1)(random);
}

void
Mesh::Run(Duration aFor)
{
  const auto end = m_now + aFor;
  while (!m_violation && !m_events.empty() && m_events.top().at <= end) {
    const auto event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.run();
  }
  m_now = end;
}

bool
Mesh::IsRunning(size_t aSlot) const
{
  return m_slots[aSlot].node && !m_slots[aSlot].frozen;
}

bool
Mesh::IsUp(size_t aSlot) const
{
  return m_slots[aSlot].node.has_value();
}

MonoTime
Mesh::ClockOf(size_t aSlot) const
{
  const auto& slot = m_slots[aSlot];
  const auto run = std::chrono::duration_cast<Duration>(m_now * slot.rate);
  return MonoTime(std::chrono::hours(1)) + run + slot.clockJump;
}

OwnershipRecord
Mesh::JoinOf(size_t aSlot) const
{
  auto join = MakeJoin(aSlot, m_options.zones);
  join.services = { kRegistry, kStamps };
  return join;
}

void
Mesh::Start(size_t aSlot, bool aNamesPrevious)
{
  auto& slot = m_slots[aSlot];
  if (slot.node || slot.joining) {
    return;
  }
  auto join = std::get<JoinRecord>(JoinOf(aSlot));
  if (aNamesPrevious) {
    join.previous = slot.last;
  }
  slot = Slot{ .last = slot.last,
               .joining = true,
               .cutFromLog = slot.cutFromLog,
               .rate = slot.rate,
               .clockJump = slot.clockJump,
               .incarnation = slot.incarnation + 1 };
  slot.outbox.emplace_back(join);
  const auto incarnation = slot.incarnation;
  Schedule({}, [this, aSlot, incarnation] { Tick(aSlot, incarnation); });
}

void
Mesh::CreateNode(size_t aSlot, DaemonId aId, size_t aRead)
{
  // The view after the first aRead records.
  OwnershipView view;
  for (size_t index = 0; index < aRead; ++index) {
    view.Apply(Offset(static_cast<int64_t>(index + 1)), m_log[index].second);
  }
  auto& slot = m_slots[aSlot];
  slot.joining = false;
  slot.last = aId;
  // Through a snapshot, as daemons start from checkpoints.
  slot.node.emplace(aId,
                    OwnershipView::FromSnapshot(view.Snapshot()),
                    m_settings,
                    random,
                    ClockOf(aSlot));
  slot.node->SetFenceWaits({ { kStamps, kLongestRequest } });
  if (slot.incarnation == 0) {
    const auto incarnation = slot.incarnation = 1;
    Schedule(DrawBetween({}, m_settings.tickInterval),
             [this, aSlot, incarnation] { Tick(aSlot, incarnation); });
  }
}

void
Mesh::Tick(size_t aSlot, uint64_t aIncarnation)
{
  auto& slot = m_slots[aSlot];
  if (slot.incarnation != aIncarnation) {
    return;
  }
  Schedule(m_settings.tickInterval,
           [this, aSlot, aIncarnation] { Tick(aSlot, aIncarnation); });
  if (slot.frozen) {
    return;
  }
  slot.readLag = logSlow ? DrawBetween(milliseconds(300), milliseconds(1500))
                         : DrawBetween(milliseconds(2), milliseconds(40));
  Write(aSlot);
  if (!slot.node) {
    return;
  }
  Read(aSlot);
  slot.node->OnTick(ClockOf(aSlot));
  ExecuteEffects(aSlot);
  EndRequests(aSlot);
  Check(aSlot);
  StartRequests(aSlot);
  Rejoin(aSlot);
}

void
Mesh::Read(size_t aSlot)
{
  auto& slot = m_slots[aSlot];
  auto next = static_cast<size_t>(slot.node->View().Applied().Value());
  while (!logDown && !slot.cutFromLog && next < m_log.size() &&
         m_log[next].first + slot.readLag <= m_now) {
    const Offset offset(static_cast<int64_t>(next + 1));
    slot.node->OnRecord(offset, m_log[next].second, ClockOf(aSlot));
    ExecuteEffects(aSlot);
    ++next;
  }
}

void
Mesh::Write(size_t aSlot)
{
  auto& slot = m_slots[aSlot];
  if (slot.outbox.empty() || slot.writing || logDown || slot.cutFromLog) {
    return;
  }
  slot.writing = true;
  const auto latency = logSlow ? DrawBetween(milliseconds(200), seconds(1))
                               : DrawBetween(milliseconds(1), milliseconds(30));
  const auto incarnation = slot.incarnation;
  Schedule(latency, [this, aSlot, incarnation, record = slot.outbox.front()] {
    auto& writer = m_slots[aSlot];
    const bool alive = writer.incarnation == incarnation;
    if (alive) {
      writer.writing = false;
    }
    if (logDown) {
      return; // The writer retries at its next tick.
    }
    AppendToLog(record);
    if (!alive) {
      return;
    }
    writer.outbox.pop_front();
    if (writer.joining) {
      CreateNode(aSlot, DaemonId(m_view.Applied().Value()), m_log.size());
    }
    if (!writer.frozen) {
      Write(aSlot);
    }
  });
}

void
Mesh::AppendToLog(const OwnershipRecord& aRecord)
{
  m_log.emplace_back(m_now, aRecord);
  const auto verdict =
    m_view.Apply(Offset(static_cast<int64_t>(m_log.size())), aRecord);
  if (m_options.trace) {
    Trace(fmt::format("log {} {}: {}",
                      m_log.size(),
                      Describe(aRecord),
                      ToString(verdict.refusal)));
  }
  CheckLog(aRecord);
}

void
Mesh::ExecuteEffects(size_t aSlot)
{
  auto& slot = m_slots[aSlot];
  for (auto& effect : slot.node->TakeEffects()) {
    if (const auto* send = std::get_if<SendMessage>(&effect)) {
      Send(aSlot, *send);
    } else if (const auto* append = std::get_if<AppendRecord>(&effect)) {
      slot.outbox.push_back(append->record);
    } else if (const auto* stop = std::get_if<EntryStopping>(&effect)) {
      Trace(fmt::format("slot {} ({}) stops {}",
                        aSlot,
                        slot.node->Self().Value(),
                        Describe(stop->key)));
      slot.stopping.insert(stop->key);
    } else if (const auto* start = std::get_if<EntryStarted>(&effect)) {
      Trace(fmt::format("slot {} ({}) starts {} ({},{})",
                        aSlot,
                        slot.node->Self().Value(),
                        Describe(start->key),
                        start->token.entry.Value(),
                        start->token.rank.Value()));
    } else if (std::holds_alternative<RejoinNeeded>(effect)) {
      Trace(fmt::format("slot {} must rejoin", aSlot));
      slot.rejoin = true;
    }
  }
}

void
Mesh::Send(size_t aSlot, const SendMessage& aSend)
{
  const auto to = SlotOf(aSend.to);
  if (!to || m_cuts.contains({ aSlot, *to }) || DrawUniform() < network.lost) {
    return;
  }
  const Delivery delivery{ m_slots[aSlot].node->Self(),
                           aSend.to,
                           aSend.message };
  const int copies = DrawUniform() < network.duplicated ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const auto latency = DrawUniform() < network.delayed
                           ? DrawBetween({}, seconds(2))
                           : DrawBetween(microseconds(300), milliseconds(3));
    Schedule(latency, [this, delivery] { Deliver(delivery); });
  }
}

void
Mesh::Deliver(const Delivery& aDelivery)
{
  const auto to = SlotOf(aDelivery.to);
  if (!to) {
    return;
  }
  auto& slot = m_slots[*to];
  if (slot.frozen) {
    slot.inbox.push_back(aDelivery);
    return;
  }
  slot.node->OnMessage(aDelivery.from, aDelivery.message, ClockOf(*to));
  ExecuteEffects(*to);
  EndRequests(*to);
  Check(*to);
}

std::optional<size_t>
Mesh::SlotOf(DaemonId aDaemon) const
{
  for (size_t slot = 0; slot < m_slots.size(); ++slot) {
    if (m_slots[slot].node && m_slots[slot].node->Self() == aDaemon) {
      return slot;
    }
  }
  return std::nullopt;
}

EntryKey
Mesh::Resolve(size_t aSlot, const AppKey& aKey) const
{
  const auto& view = m_slots[aSlot].node->View();
  return view.Resolve(aKey.service, aKey.range, aKey.name);
}

std::optional<FenceToken>
Mesh::Serves(size_t aSlot, const AppKey& aKey) const
{
  return m_slots[aSlot].node->MayServe(Resolve(aSlot, aKey), ClockOf(aSlot));
}

std::vector<size_t>
Mesh::Servers(const AppKey& aKey) const
{
  std::vector<size_t> servers;
  for (size_t slot = 0; slot < m_slots.size(); ++slot) {
    if (m_slots[slot].node && Serves(slot, aKey)) {
      servers.push_back(slot);
    }
  }
  return servers;
}

size_t
Mesh::CountUnserved() const
{
  const auto unserved = std::ranges::count_if(
    m_keys, [this](const AppKey& aKey) { return Servers(aKey).empty(); });
  return static_cast<size_t>(unserved);
}

void
Mesh::Rejoin(size_t aSlot)
{
  auto& slot = m_slots[aSlot];
  if (slot.node->Left() && slot.outbox.empty()) {
    m_abortedRequests += static_cast<size_t>(
      std::ranges::count_if(m_requests, [&](const Request& aRequest) {
        return aRequest.slot == aSlot &&
               aRequest.incarnation == slot.incarnation;
      }));
    Kill(aSlot);
    return;
  }
  if (slot.rejoin && slot.stopping.empty()) {
    slot.node.reset();
    Start(aSlot, true);
  }
}

}
