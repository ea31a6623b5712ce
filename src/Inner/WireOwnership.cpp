#include "src/Inner/WireOwnership.h"

#include <fmt/format.h>

#include "src/Inner/InnerError.h"

namespace pistachioshift::internal {

constexpr int32_t kMaxGoneCause = static_cast<int32_t>(GoneCause::kRetired);
constexpr int32_t kMaxRank = 255;
constexpr int32_t kMaxPort = 65535;

int32_t
CheckBounds(int32_t aValue, int32_t aMax, const char* aField)
{
  if (aValue < 0 || aValue > aMax) {
    throw InnerError(fmt::format("{} out of bounds: {}", aField, aValue));
  }
  return aValue;
}

Rank
RankFromWire(int32_t aRank)
{
  return Rank(static_cast<uint8_t>(CheckBounds(aRank, kMaxRank, "rank")));
}

GoneCause
CauseFromWire(int32_t aCause)
{
  return static_cast<GoneCause>(CheckBounds(aCause, kMaxGoneCause, "cause"));
}

wire::WireEndpoint
ToWire(const Endpoint& aEndpoint)
{
  wire::WireEndpoint endpoint;
  endpoint.address = aEndpoint.address;
  endpoint.port = aEndpoint.port;
  return endpoint;
}

Endpoint
FromWire(const wire::WireEndpoint& aEndpoint)
{
  const auto port = CheckBounds(aEndpoint.port, kMaxPort, "port");
  return Endpoint{ aEndpoint.address, static_cast<uint16_t>(port) };
}

wire::WireJoin
ToWire(const JoinRecord& aRecord)
{
  wire::WireJoin join;
  join.boot = static_cast<int64_t>(aRecord.boot.Value());
  if (aRecord.previous) {
    join.__set_previous(aRecord.previous->Value());
  }
  join.inner = ToWire(aRecord.inner);
  join.callers = ToWire(aRecord.callers);
  join.server = ToWire(aRecord.server);
  join.host = aRecord.host.Value();
  join.zone = aRecord.zone.Value();
  join.region = aRecord.region.Value();
  join.services = ToValues(aRecord.services);
  join.slots = static_cast<int32_t>(aRecord.slots);
  join.checksFences = aRecord.checksFences;
  if (!aRecord.kernelBoot.empty()) {
    join.__set_kernelBoot(aRecord.kernelBoot);
  }
  return join;
}

JoinRecord
FromWire(const wire::WireJoin& aJoin)
{
  JoinRecord record;
  record.boot = BootId(static_cast<uint64_t>(aJoin.boot));
  if (aJoin.__isset.previous) {
    record.previous = DaemonId(aJoin.previous);
  }
  record.inner = FromWire(aJoin.inner);
  record.callers = FromWire(aJoin.callers);
  record.server = FromWire(aJoin.server);
  record.host = HostName(aJoin.host);
  record.zone = ZoneName(aJoin.zone);
  record.region = RegionName(aJoin.region);
  record.services = FromValues<ServiceName>(aJoin.services);
  record.slots = static_cast<uint32_t>(aJoin.slots);
  record.checksFences = aJoin.checksFences;
  record.kernelBoot = aJoin.kernelBoot;
  return record;
}

wire::WireAssignment
ToWire(const Assignment& aAssignment)
{
  wire::WireAssignment assignment;
  assignment.key = ToWire(aAssignment.key);
  if (aAssignment.base) {
    assignment.__set_base(aAssignment.base->Value());
  }
  assignment.owner = aAssignment.owner.Value();
  assignment.heirs = ToValues(aAssignment.successors);
  return assignment;
}

Assignment
FromWire(const wire::WireAssignment& aAssignment)
{
  Assignment assignment;
  assignment.key = FromWire(aAssignment.key);
  if (aAssignment.__isset.base) {
    assignment.base = Offset(aAssignment.base);
  }
  assignment.owner = DaemonId(aAssignment.owner);
  assignment.successors = FromValues<DaemonId>(aAssignment.heirs);
  return assignment;
}

wire::WireHeldEntry
ToWire(const HeldEntry& aHeld)
{
  wire::WireHeldEntry held;
  held.key = ToWire(aHeld.key);
  held.entry = aHeld.entry.Value();
  held.rank = aHeld.rank.Value();
  return held;
}

HeldEntry
FromWire(const wire::WireHeldEntry& aHeld)
{
  return HeldEntry{ FromWire(aHeld.key),
                    Offset(aHeld.entry),
                    RankFromWire(aHeld.rank) };
}

wire::WirePassedEntry
ToWire(const PassedEntry& aPassed)
{
  wire::WirePassedEntry passed;
  passed.key = ToWire(aPassed.key);
  passed.entry = aPassed.entry.Value();
  return passed;
}

PassedEntry
FromWire(const wire::WirePassedEntry& aPassed)
{
  return PassedEntry{ FromWire(aPassed.key), Offset(aPassed.entry) };
}

template<class Record>
wire::WirePin
PinToWire(const Record& aRecord)
{
  wire::WirePin pin;
  pin.term = aRecord.term.Value();
  pin.planner = aRecord.planner.Value();
  pin.keys =
    MapList(aRecord.keys, [](const auto& aItem) { return ToWire(aItem); });
  return pin;
}

template<class Record>
Record
PinFromWire(const wire::WirePin& aPin)
{
  return Record{ Offset(aPin.term),
                 DaemonId(aPin.planner),
                 MapList(aPin.keys,
                         [](const auto& aItem) { return FromWire(aItem); }) };
}

/** Sets the union field that corresponds to the record type. */
struct RecordWriter
{
  wire::WireOwnershipRecord& record;

  void operator()(const JoinRecord& aRecord) const
  {
    record.__set_join(ToWire(aRecord));
  }

  void operator()(const LeavingRecord& aRecord) const
  {
    wire::WireLeaving leaving;
    leaving.daemon = aRecord.daemon.Value();
    record.__set_leaving(leaving);
  }

  void operator()(const GoneRecord& aRecord) const
  {
    wire::WireGone gone;
    gone.daemon = aRecord.daemon.Value();
    gone.by = aRecord.by.Value();
    gone.cause = static_cast<int32_t>(aRecord.cause);
    record.__set_gone(gone);
  }

  void operator()(const PlannerTermRecord& aRecord) const
  {
    wire::WirePlannerTerm term;
    term.planner = aRecord.planner.Value();
    term.replaces = aRecord.replaces.Value();
    record.__set_plannerTerm(term);
  }

  void operator()(const AssignRecord& aRecord) const
  {
    wire::WireAssign assign;
    assign.term = aRecord.term.Value();
    assign.planner = aRecord.planner.Value();
    assign.assignments = MapList(
      aRecord.assignments, [](const auto& aItem) { return ToWire(aItem); });
    record.__set_assign(assign);
  }

  void operator()(const PinRecord& aRecord) const
  {
    record.__set_pin(PinToWire(aRecord));
  }

  void operator()(const UnpinRecord& aRecord) const
  {
    record.__set_unpin(PinToWire(aRecord));
  }

  void operator()(const HeldRecord& aRecord) const
  {
    wire::WireHeld held;
    held.daemon = aRecord.daemon.Value();
    held.entries =
      MapList(aRecord.entries, [](const auto& aItem) { return ToWire(aItem); });
    record.__set_held(held);
  }

  void operator()(const WitnessSetRecord& aRecord) const
  {
    wire::WireGuardians guardians;
    guardians.ward = aRecord.leaseholder.Value();
    guardians.base = aRecord.base.Value();
    guardians.guardians = ToValues(aRecord.witnesses);
    record.__set_guardians(guardians);
  }

  void operator()(const WitnessSetSwitchedRecord& aRecord) const
  {
    wire::WireGuardiansSwitched switched;
    switched.ward = aRecord.leaseholder.Value();
    switched.set_ = aRecord.set.Value();
    record.__set_guardiansSwitched(switched);
  }

  void operator()(const PassRecord& aRecord) const
  {
    wire::WirePass pass;
    pass.daemon = aRecord.daemon.Value();
    pass.entries =
      MapList(aRecord.entries, [](const auto& aItem) { return ToWire(aItem); });
    record.__set_passRecord(pass);
  }

  void operator()(const RetireRecord& aRecord) const
  {
    wire::WireRetire retire;
    retire.ward = aRecord.leaseholder.Value();
    retire.set_ = aRecord.set.Value();
    record.__set_retire(retire);
  }
};

wire::WireEntry
ToWire(const Entry& aEntry)
{
  wire::WireEntry entry;
  entry.offset = aEntry.offset.Value();
  entry.holders = ToValues(aEntry.holders);
  if (aEntry.held) {
    entry.__set_held(aEntry.held->Value());
  }
  for (const auto& pass : aEntry.passes) {
    wire::WirePassedRank passed;
    passed.rank = pass.rank.Value();
    passed.at = pass.at.Value();
    entry.passes.push_back(passed);
  }
  return entry;
}

Entry
FromWire(const wire::WireEntry& aEntry)
{
  Entry entry;
  entry.offset = Offset(aEntry.offset);
  entry.holders = FromValues<DaemonId>(aEntry.holders);
  if (aEntry.__isset.held) {
    entry.held = RankFromWire(aEntry.held);
  }
  for (const auto& pass : aEntry.passes) {
    entry.passes.push_back(
      PassedRank{ RankFromWire(pass.rank), Offset(pass.at) });
  }
  return entry;
}

wire::WireChain
ToWire(const OwnershipSnapshot::KeyedChain& aChain)
{
  wire::WireChain chain;
  chain.key = ToWire(aChain.key);
  chain.entries = MapList(aChain.chain.entries,
                          [](const auto& aItem) { return ToWire(aItem); });
  return chain;
}

OwnershipSnapshot::KeyedChain
FromWire(const wire::WireChain& aChain)
{
  if (aChain.entries.empty()) {
    throw InnerError("entry chain is empty");
  }
  return { FromWire(aChain.key),
           EntryChain{ MapList(aChain.entries, [](const auto& aItem) {
             return FromWire(aItem);
           }) } };
}

wire::WireMember
ToWire(const Member& aMember)
{
  wire::WireMember member;
  member.id = aMember.id.Value();
  member.join = ToWire(aMember.join);
  if (aMember.leaving) {
    member.__set_leaving(aMember.leaving->Value());
  }
  return member;
}

Member
FromWire(const wire::WireMember& aMember)
{
  Member member;
  member.id = DaemonId(aMember.id);
  member.join = FromWire(aMember.join);
  if (aMember.__isset.leaving) {
    member.leaving = Offset(aMember.leaving);
  }
  return member;
}

wire::WireGoneDaemon
ToWire(const OwnershipSnapshot::KeyedGone& aGone)
{
  wire::WireGoneDaemon gone;
  gone.daemon = aGone.daemon.Value();
  gone.at = aGone.gone.at.Value();
  gone.cause = static_cast<int32_t>(aGone.gone.cause);
  return gone;
}

OwnershipSnapshot::KeyedGone
FromWire(const wire::WireGoneDaemon& aGone)
{
  return { DaemonId(aGone.daemon),
           GoneDaemon{ Offset(aGone.at), CauseFromWire(aGone.cause) } };
}

wire::WireGuardianSet
ToWire(const WitnessSet& aSet)
{
  wire::WireGuardianSet set;
  set.offset = aSet.offset.Value();
  set.guardians = ToValues(aSet.witnesses);
  return set;
}

WitnessSet
FromWire(const wire::WireGuardianSet& aSet)
{
  return WitnessSet{ Offset(aSet.offset),
                     FromValues<DaemonId>(aSet.guardians) };
}

wire::WireGuardianSets
ToWire(const OwnershipSnapshot::KeyedSets& aSets)
{
  wire::WireGuardianSets sets;
  sets.ward = aSets.leaseholder.Value();
  sets.current = ToWire(aSets.sets.current);
  if (aSets.sets.pending) {
    sets.__set_pending(ToWire(*aSets.sets.pending));
  }
  return sets;
}

OwnershipSnapshot::KeyedSets
FromWire(const wire::WireGuardianSets& aSets)
{
  OwnershipSnapshot::KeyedSets sets;
  sets.leaseholder = DaemonId(aSets.ward);
  sets.sets.current = FromWire(aSets.current);
  if (aSets.__isset.pending) {
    sets.sets.pending = FromWire(aSets.pending);
  }
  return sets;
}

wire::WireEntryKey
ToWire(const EntryKey& aKey)
{
  wire::WireEntryKey key;
  key.serviceName = aKey.service.Value();
  key.range_ = static_cast<int32_t>(aKey.range.Value());
  if (!aKey.pinnedKey.empty()) {
    key.__set_pinnedKey(aKey.pinnedKey);
  }
  return key;
}

EntryKey
FromWire(const wire::WireEntryKey& aKey)
{
  return EntryKey{ ServiceName(aKey.serviceName),
                   RangeIndex(static_cast<uint32_t>(aKey.range_)),
                   aKey.pinnedKey };
}

wire::WireOwnershipRecord
ToWire(const OwnershipRecord& aRecord)
{
  wire::WireOwnershipRecord record;
  std::visit(RecordWriter{ record }, aRecord);
  return record;
}

OwnershipRecord
FromWire(const wire::WireOwnershipRecord& aRecord)
{
  const auto& isset = aRecord.__isset;
  if (isset.join) {
    return FromWire(aRecord.join);
  }
  if (isset.leaving) {
    return LeavingRecord{ DaemonId(aRecord.leaving.daemon) };
  }
  if (isset.gone) {
    const auto& gone = aRecord.gone;
    return GoneRecord{ DaemonId(gone.daemon),
                       DaemonId(gone.by),
                       CauseFromWire(gone.cause) };
  }
  if (isset.plannerTerm) {
    const auto& term = aRecord.plannerTerm;
    return PlannerTermRecord{ DaemonId(term.planner), Offset(term.replaces) };
  }
  if (isset.assign) {
    const auto& assign = aRecord.assign;
    return AssignRecord{ Offset(assign.term),
                         DaemonId(assign.planner),
                         MapList(assign.assignments, [](const auto& aItem) {
                           return FromWire(aItem);
                         }) };
  }
  if (isset.pin) {
    return PinFromWire<PinRecord>(aRecord.pin);
  }
  if (isset.unpin) {
    return PinFromWire<UnpinRecord>(aRecord.unpin);
  }
  if (isset.held) {
    const auto& held = aRecord.held;
    return HeldRecord{ DaemonId(held.daemon),
                       MapList(held.entries, [](const auto& aItem) {
                         return FromWire(aItem);
                       }) };
  }
  if (isset.guardians) {
    const auto& guardians = aRecord.guardians;
    return WitnessSetRecord{ DaemonId(guardians.ward),
                             Offset(guardians.base),
                             FromValues<DaemonId>(guardians.guardians) };
  }
  if (isset.guardiansSwitched) {
    const auto& switched = aRecord.guardiansSwitched;
    return WitnessSetSwitchedRecord{ DaemonId(switched.ward),
                                     Offset(switched.set_) };
  }
  if (isset.passRecord) {
    const auto& pass = aRecord.passRecord;
    return PassRecord{ DaemonId(pass.daemon),
                       MapList(pass.entries, [](const auto& aItem) {
                         return FromWire(aItem);
                       }) };
  }
  if (isset.retire) {
    const auto& retire = aRecord.retire;
    return RetireRecord{ DaemonId(retire.ward), Offset(retire.set_) };
  }
  throw InnerError("unknown ownership record type");
}

wire::WireOwnershipSnapshot
ToWire(const OwnershipSnapshot& aSnapshot)
{
  wire::WireOwnershipSnapshot snapshot;
  snapshot.applied = aSnapshot.applied.Value();
  snapshot.term = aSnapshot.term.term.Value();
  snapshot.planner = aSnapshot.term.planner.Value();
  snapshot.members =
    MapList(aSnapshot.members, [](const auto& aItem) { return ToWire(aItem); });
  snapshot.gone =
    MapList(aSnapshot.gone, [](const auto& aItem) { return ToWire(aItem); });
  snapshot.guardians = MapList(aSnapshot.witnesses,
                               [](const auto& aItem) { return ToWire(aItem); });
  snapshot.entries =
    MapList(aSnapshot.entries, [](const auto& aItem) { return ToWire(aItem); });
  return snapshot;
}

OwnershipSnapshot
FromWire(const wire::WireOwnershipSnapshot& aSnapshot)
{
  OwnershipSnapshot snapshot;
  snapshot.applied = Offset(aSnapshot.applied);
  snapshot.term =
    PlannerTerm{ Offset(aSnapshot.term), DaemonId(aSnapshot.planner) };
  snapshot.members = MapList(aSnapshot.members,
                             [](const auto& aItem) { return FromWire(aItem); });
  snapshot.gone =
    MapList(aSnapshot.gone, [](const auto& aItem) { return FromWire(aItem); });
  snapshot.witnesses = MapList(
    aSnapshot.guardians, [](const auto& aItem) { return FromWire(aItem); });
  snapshot.entries = MapList(aSnapshot.entries,
                             [](const auto& aItem) { return FromWire(aItem); });
  return snapshot;
}

}
