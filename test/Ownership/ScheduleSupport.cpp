#include <algorithm>

#include <fmt/ranges.h>

#include "test/Ownership/NodeSupport.h"

// Faults, planner actions and complete schedules of Mesh.

namespace pistachioshift {

using std::chrono::milliseconds;
using std::chrono::seconds;

void
Mesh::Kill(size_t aSlot)
{
  auto& slot = m_slots[aSlot];
  if (!slot.node) {
    return;
  }
  Trace(fmt::format("kill {}", aSlot));
  // Appends in flight may still reach the log.
  slot.node.reset();
  slot.frozen = false;
  ++slot.incarnation;
  slot.outbox.clear();
  slot.inbox.clear();
  slot.stopping.clear();
}

void
Mesh::Freeze(size_t aSlot)
{
  if (m_slots[aSlot].node) {
    Trace(fmt::format("freeze {}", aSlot));
    m_slots[aSlot].frozen = true;
  }
}

void
Mesh::Resume(size_t aSlot)
{
  auto& slot = m_slots[aSlot];
  if (!slot.frozen) {
    return;
  }
  Trace(fmt::format("resume {}", aSlot));
  slot.frozen = false;
  // It may try to serve before it handles a message, a record or a tick.
  Check(aSlot);
  StartRequests(aSlot);
  auto inbox = std::exchange(slot.inbox, {});
  std::ranges::shuffle(inbox, random);
  for (const auto& delivery : inbox) {
    Schedule(DrawBetween({}, milliseconds(60)),
             [this, delivery] { Deliver(delivery); });
  }
}

void
Mesh::Jump(size_t aSlot, Duration aBy)
{
  Trace(fmt::format("jump {}", aSlot));
  m_slots[aSlot].clockJump += aBy;
}

void
Mesh::Leave(size_t aSlot)
{
  if (IsRunning(aSlot)) {
    Trace(fmt::format("leave {}", aSlot));
    m_slots[aSlot].node->BeginLeave(ClockOf(aSlot));
    ExecuteEffects(aSlot);
  }
}

void
Mesh::Partition(const std::set<size_t>& aSide, bool aFromLog)
{
  for (size_t from = 0; from < Size(); ++from) {
    for (size_t to = 0; to < Size(); ++to) {
      if (aSide.contains(from) != aSide.contains(to)) {
        m_cuts.emplace(from, to);
      }
    }
  }
  Trace(fmt::format("cut {} log {}", fmt::join(aSide, ","), aFromLog));
  for (const auto slot : aSide) {
    m_slots[slot].cutFromLog |= aFromLog;
  }
}

void
Mesh::CutFromLog(size_t aSlot)
{
  Trace(fmt::format("cut {} from log", aSlot));
  m_slots[aSlot].cutFromLog = true;
}

void
Mesh::CutLink(size_t aFrom, size_t aTo)
{
  Trace(fmt::format("cut link {} {}", aFrom, aTo));
  m_cuts.emplace(aFrom, aTo);
}

void
Mesh::CutPair(size_t aOne, size_t aOther)
{
  CutLink(aOne, aOther);
  CutLink(aOther, aOne);
}

std::vector<size_t>
Mesh::WitnessesOf(size_t aSlot) const
{
  std::vector<size_t> slots;
  const auto& node = m_slots[aSlot].node;
  const auto* sets = node ? m_view.FindWitnesses(node->Self()) : nullptr;
  if (sets == nullptr) {
    return slots;
  }
  for (const auto witness : sets->current.witnesses) {
    if (const auto slot = SlotOf(witness)) {
      slots.push_back(*slot);
    }
  }
  return slots;
}

void
Mesh::Heal()
{
  Trace("heal");
  m_cuts.clear();
  network = NetworkFaults();
  logDown = false;
  logSlow = false;
  for (size_t slot = 0; slot < Size(); ++slot) {
    m_slots[slot].cutFromLog = false;
    Resume(slot);
  }
}

bool
Mesh::EnsurePlanner()
{
  if (m_view.Members().empty()) {
    return false;
  }
  const auto& term = m_view.Term();
  if (m_view.FindMember(term.planner) == nullptr) {
    const auto planner = m_view.Members().rbegin()->first;
    AppendToLog(PlannerTermRecord{ planner, term.term });
  }
  return true;
}

std::vector<DaemonId>
Mesh::DrawHolders()
{
  std::vector<DaemonId> holders;
  for (const auto& [id, member] : m_view.Members()) {
    if (!member.leaving) {
      holders.push_back(id);
    }
  }
  std::ranges::shuffle(holders, random);
  const auto most = 1 + DrawIndex(kMaxSuccessors + 1);
  holders.resize(std::min({ holders.size(), most, kMaxSuccessors + 1 }));
  return holders;
}

void
Mesh::MoveSome()
{
  if (logDown || !EnsurePlanner()) {
    return;
  }
  AssignRecord record{ m_view.Term().term, m_view.Term().planner, {} };
  for (const auto& [key, chain] : m_view.Entries()) {
    const auto holders = DrawHolders();
    if (DrawUniform() < 0.5 && !holders.empty()) {
      Assignment move{ key, chain.Current().offset, holders.front(), {} };
      move.successors.assign(holders.begin() + 1, holders.end());
      record.assignments.push_back(move);
    }
  }
  AppendToLog(record);
}

void
Mesh::PinSome()
{
  if (logDown || !EnsurePlanner()) {
    return;
  }
  const auto& key = m_keys[DrawIndex(m_keys.size())];
  AppendToLog(PinRecord{ m_view.Term().term,
                         m_view.Term().planner,
                         { { key.service, key.range, key.name } } });
}

void
Mesh::UnpinSome()
{
  if (logDown || !EnsurePlanner()) {
    return;
  }
  UnpinRecord record{ m_view.Term().term, m_view.Term().planner, {} };
  for (const auto& [key, chain] : m_view.Entries()) {
    if (!key.pinnedKey.empty()) {
      record.keys.push_back(key);
    }
  }
  AppendToLog(record);
}

void
Mesh::AttestStopped()
{
  std::vector<DaemonId> lost;
  std::optional<DaemonId> running;
  for (const auto& [id, member] : m_view.Members()) {
    if (SlotOf(id)) {
      running = id;
    } else {
      lost.push_back(id);
    }
  }
  for (const auto daemon : lost) {
    if (running) {
      AppendToLog(GoneRecord{ daemon, *running, GoneCause::kAttested });
    }
  }
}

void
Mesh::AssignUnheld()
{
  if (logDown || !EnsurePlanner()) {
    return;
  }
  AssignRecord record{ m_view.Term().term, m_view.Term().planner, {} };
  const auto add = [&](const EntryKey& aKey, std::optional<Offset> aBase) {
    const auto holders = DrawHolders();
    if (!holders.empty()) {
      Assignment assignment{ aKey, aBase, holders.front(), {} };
      assignment.successors.assign(holders.begin() + 1, holders.end());
      record.assignments.push_back(assignment);
    }
  };
  for (const auto& app : m_keys) {
    const EntryKey key{ app.service, app.range, {} };
    const bool listed = std::ranges::any_of(
      record.assignments, [&](auto& aItem) { return aItem.key == key; });
    if (m_view.FindChain(key) == nullptr && !listed) {
      add(key, std::nullopt);
    }
  }
  for (const auto& [key, chain] : m_view.Entries()) {
    if (m_view.NeedsHolder(key)) {
      add(key, chain.Current().offset);
    }
  }
  if (!record.assignments.empty()) {
    AppendToLog(record);
  }
}

namespace {

/** \brief Injects randomly drawn faults and changes. */
class Faults
{
public:
  explicit Faults(Mesh& aMesh)
    : m_mesh(aMesh)
  {
  }

  void Inject()
  {
    const auto slot = Draw(m_mesh.Size());
    switch (Draw(20)) {
      case 0:
        m_mesh.Kill(slot);
        break;
      case 1:
        m_mesh.Start(slot, Draw(2) == 0);
        break;
      case 2:
      case 3:
        m_mesh.Freeze(slot);
        break;
      case 4:
      case 5:
        m_mesh.Resume(slot);
        break;
      case 6:
        m_mesh.Jump(slot, milliseconds(300 + Draw(3000)));
        break;
      case 7:
        m_mesh.Leave(slot);
        break;
      case 8:
        m_mesh.Partition(DrawPartition(), Draw(2) == 0);
        break;
      case 9:
        m_mesh.CutLink(slot, Draw(m_mesh.Size()));
        break;
      case 10:
        m_mesh.Heal();
        break;
      case 11:
        m_mesh.logDown = !m_mesh.logDown;
        break;
      case 12:
        m_mesh.logSlow = !m_mesh.logSlow;
        break;
      case 13:
        m_mesh.network = NetworkFaults{ 0.1 * static_cast<double>(Draw(4)),
                                        0.1 * static_cast<double>(Draw(3)),
                                        0.1 * static_cast<double>(Draw(3)) };
        break;
      case 14:
        m_mesh.PinSome();
        break;
      case 15:
        m_mesh.UnpinSome();
        break;
      case 16:
      case 17:
        m_mesh.CutFromLog(slot);
        break;
      default:
        m_mesh.MoveSome();
        break;
    }
  }

  size_t Draw(size_t aCount)
  {
    return std::uniform_int_distribution<size_t>(0, aCount - 1)(m_mesh.random);
  }

private:
  std::set<size_t> DrawPartition()
  {
    std::set<size_t> side;
    for (size_t slot = 0; slot < m_mesh.Size(); ++slot) {
      if (Draw(2) == 0) {
        side.insert(slot);
      }
    }
    return side;
  }

  Mesh& m_mesh;
};

}

namespace {

/** \brief Any faults in any order. */
void
InjectAny(Mesh& aMesh, Faults& aFaults)
{
  const auto steps = 4 + aFaults.Draw(12);
  for (size_t step = 0; step < steps && !aMesh.Violation(); ++step) {
    aMesh.Run(milliseconds(10 + aFaults.Draw(600)));
    aFaults.Inject();
  }
}

/** \brief Cuts a leaseholder off from its witnesses while sets are switched. */
void
InjectDuringSwitch(Mesh& aMesh, Faults& aFaults)
{
  const auto leaseholder = aFaults.Draw(aMesh.Size());
  const auto steps = 6 + aFaults.Draw(12);
  for (size_t step = 0; step < steps && !aMesh.Violation(); ++step) {
    aMesh.Run(milliseconds(10 + aFaults.Draw(300)));
    const auto witnesses = aMesh.WitnessesOf(leaseholder);
    if (aFaults.Draw(3) == 0) {
      aMesh.MoveSome();
    } else if (aFaults.Draw(8) == 0) {
      aFaults.Inject();
    } else if (!witnesses.empty()) {
      aMesh.CutPair(leaseholder, witnesses[aFaults.Draw(witnesses.size())]);
    }
  }
}

/** \brief Daemons lag behind the log while keys move and daemons freeze. */
void
InjectLogLag(Mesh& aMesh, Faults& aFaults)
{
  for (int step = 0; step < 8 && !aMesh.Violation(); ++step) {
    const auto slot = aFaults.Draw(aMesh.Size());
    switch (aFaults.Draw(5)) {
      case 0:
        aMesh.Freeze(slot);
        break;
      case 1:
        aMesh.Heal();
        break;
      case 2:
        aMesh.CutFromLog(slot);
        break;
      default:
        aMesh.CutFromLog(slot);
        aMesh.MoveSome();
        break;
    }
    aMesh.Run(milliseconds(10 + aFaults.Draw(500)));
  }
}

/** \brief Cuts off a leaseholder together with a majority of its witnesses. */
void
InjectWitnessLoss(Mesh& aMesh, Faults& aFaults)
{
  const auto leaseholder = aFaults.Draw(aMesh.Size());
  auto side = aMesh.WitnessesOf(leaseholder);
  if (side.size() > 2) {
    side.erase(side.begin() + static_cast<ptrdiff_t>(aFaults.Draw(3)));
  }
  side.push_back(leaseholder);
  aMesh.Partition({ side.begin(), side.end() }, true);
  for (int step = 0; step < 8 && !aMesh.Violation(); ++step) {
    aMesh.Run(milliseconds(50 + aFaults.Draw(400)));
    if (aFaults.Draw(3) == 0) {
      aMesh.MoveSome();
    } else if (aFaults.Draw(4) == 0) {
      aFaults.Inject();
    }
  }
}

MeshOptions
DrawOptions(uint64_t aSeed)
{
  RandomEngine shape(aSeed);
  MeshOptions options;
  options.seed = aSeed;
  options.daemons = 2 + shape() % 6;
  options.zones = 1 + shape() % 4;
  options.formed = shape() % 8 != 0;
  options.settings.witnessTimeout = milliseconds(300 + shape() % 1700);
  options.settings.removalStagger = milliseconds(shape() % 500);
  return options;
}

}

std::optional<std::string>
RunSchedule(uint64_t aSeed, internal::Mutation aMutation, bool aTrace)
{
  auto options = DrawOptions(aSeed);
  options.settings.mutation = aMutation;
  options.trace = aTrace;
  const auto family = aSeed % 5;
  if (family == 3) {
    options.daemons += 4; // So that leaseholders have different witnesses.
  }
  Mesh mesh(options);
  Faults faults(mesh);
  mesh.Run(milliseconds(options.formed ? 400 : 1500));
  mesh.AssignUnheld();
  switch (family) {
    case 2:
      InjectDuringSwitch(mesh, faults);
      break;
    case 3:
      InjectWitnessLoss(mesh, faults);
      break;
    case 4:
      InjectLogLag(mesh, faults);
      break;
    default:
      InjectAny(mesh, faults);
      break;
  }
  mesh.Heal();
  mesh.Run(seconds(2));
  return mesh.Violation();
}

}
