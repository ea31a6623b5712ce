#include "src/Daemon/PlannerTask.h"

#include "src/Planner/Placement.h"

namespace pistachioshift {

namespace {

constexpr Duration kPlanInterval = std::chrono::milliseconds(250);
constexpr Duration kMaxPlanAge = std::chrono::seconds(2);
constexpr Duration kClaimRetryInterval = std::chrono::seconds(5);
constexpr Duration kPendingTimeout = std::chrono::seconds(10);
constexpr size_t kMaxAssignments = 128; // In one record.

}

PlannerTask::PlannerTask(event_base* aBase,
                         const Clock& aClock,
                         MeshTask& aMesh,
                         BackendTask& aBackend,
                         const Logger& aLogger)
  : m_clock(aClock)
  , m_mesh(aMesh)
  , m_backend(aBackend)
  , m_logger(aLogger)
  , m_timer(aBase, [this] { OnTick(); })
{
}

void
PlannerTask::Start()
{
  m_timer.StartEvery(kPlanInterval);
}

bool
PlannerTask::IsPlanner() const
{
  const auto self = m_mesh.Self();
  return self != DaemonId() && m_mesh.View().Term().planner == self;
}

void
PlannerTask::OnTick()
{
  if (m_mesh.Self() == DaemonId()) {
    return;
  }
  if (ShouldClaim()) {
    Claim();
  }
  if (IsPlanner()) {
    PlanAssignments();
  }
}

bool
PlannerTask::ShouldClaim() const
{
  const auto& view = m_mesh.View();
  const auto* planner = view.FindMember(view.Term().planner);
  if (planner != nullptr && !planner->leaving) {
    return false;
  }
  for (const auto& [daemon, member] : view.Members()) {
    if (!member.leaving) {
      return daemon == m_mesh.Self();
    }
  }
  return false;
}

void
PlannerTask::Claim()
{
  const auto now = m_clock.Now();
  if (now - m_claimedAt < kClaimRetryInterval) {
    return;
  }
  m_claimedAt = now;
  m_logger.Info(
    "planner-claim", "replaces={}", m_mesh.View().Term().term.Value());
  m_mesh.Append(PlannerTermRecord{ m_mesh.Self(), m_mesh.View().Term().term });
}

Offset
PlannerTask::CurrentEntry(const EntryKey& aKey) const
{
  const auto* chain = m_mesh.View().FindChain(aKey);
  return chain == nullptr ? Offset() : chain->Current().offset;
}

std::set<EntryKey>
PlannerTask::PendingKeys()
{
  const auto now = m_clock.Now();
  std::erase_if(m_pending, [&](const auto& aItem) {
    const auto& [key, pending] = aItem;
    return now - pending.since > kPendingTimeout ||
           CurrentEntry(key) != pending.base;
  });
  std::set<EntryKey> keys;
  for (const auto& [key, pending] : m_pending) {
    keys.insert(key);
  }
  return keys;
}

void
PlannerTask::PlanAssignments()
{
  // Planning reads all entries, so it runs when records were applied since the
  // last plan, and otherwise only once in kMaxPlanAge.
  const auto now = m_clock.Now();
  const auto applied = m_mesh.View().Applied();
  if (applied == m_plannedOffset && now - m_plannedAt < kMaxPlanAge) {
    return;
  }
  m_plannedOffset = applied;
  m_plannedAt = now;
  Placement placement(m_mesh.View(), m_backend.Policies());
  Submit(placement.Plan(kMaxAssignments, PendingKeys()));
}

void
PlannerTask::Submit(std::vector<Assignment> aAssignments)
{
  if (aAssignments.empty()) {
    return;
  }
  for (const auto& assignment : aAssignments) {
    m_pending[assignment.key] =
      Pending{ assignment.base.value_or(Offset()), m_clock.Now() };
  }
  AssignRecord record;
  record.term = m_mesh.View().Term().term;
  record.planner = m_mesh.Self();
  record.assignments = std::move(aAssignments);
  m_mesh.Append(record);
}

bool
PlannerTask::Move(const EntryKey& aKey, DaemonId aTo)
{
  const auto* chain = m_mesh.View().FindChain(aKey);
  if (!IsPlanner() || chain == nullptr ||
      m_mesh.View().FindMember(aTo) == nullptr) {
    return false;
  }
  Placement placement(m_mesh.View(), m_backend.Policies());
  Assignment assignment;
  assignment.key = aKey;
  assignment.base = chain->Current().offset;
  assignment.owner = aTo;
  assignment.successors = placement.ChooseSuccessors(aKey.service, aTo);
  Submit({ assignment });
  return true;
}

bool
PlannerTask::AssignSameHolders(const EntryKey& aKey, const EntryKey& aOther)
{
  const auto* chain = m_mesh.View().FindChain(aKey);
  const auto* other = m_mesh.View().FindChain(aOther);
  if (!IsPlanner() || chain == nullptr || other == nullptr) {
    return false;
  }
  const auto& holders = other->Current().holders;
  Assignment assignment;
  assignment.key = aKey;
  assignment.base = chain->Current().offset;
  assignment.owner = holders.front();
  assignment.successors.assign(std::next(holders.begin()), holders.end());
  Submit({ assignment });
  return true;
}

}
