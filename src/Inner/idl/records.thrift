// Bodies of the records in the log streams `ownership` and `document`, and the
// contents of their checkpoints.
namespace cpp pistachioshift.wire

struct WireEndpoint {
  1: required string address
  2: required i32 port
}

struct WireEntryKey {
  1: required string serviceName
  2: required i32 range_
  3: optional string pinnedKey
}

struct WireJoin {
  1: required i64 boot
  2: optional i64 previous
  3: required WireEndpoint inner
  4: required WireEndpoint callers
  5: required WireEndpoint server
  6: required string host
  7: required string zone
  8: required string region
  9: required list<string> services
  10: required i32 slots
  11: required bool checksFences
  12: optional string kernelBoot
}

struct WireLeaving {
  1: required i64 daemon
}

struct WireGone {
  1: required i64 daemon
  2: required i64 by
  3: required i32 cause
}

struct WirePlannerTerm {
  1: required i64 planner
  2: required i64 replaces
}

struct WireAssignment {
  1: required WireEntryKey key
  2: optional i64 base
  3: required i64 owner
  4: required list<i64> heirs
}

struct WireAssign {
  1: required i64 term
  2: required i64 planner
  3: required list<WireAssignment> assignments
}

struct WirePin {
  1: required i64 term
  2: required i64 planner
  3: required list<WireEntryKey> keys
}

struct WireHeldEntry {
  1: required WireEntryKey key
  2: required i64 entry
  3: required i32 rank
}

struct WireHeld {
  1: required i64 daemon
  2: required list<WireHeldEntry> entries
}

struct WireGuardians {
  1: required i64 ward
  2: required i64 base
  3: required list<i64> guardians
}

struct WireGuardiansSwitched {
  1: required i64 ward
  2: required i64 set_
}

struct WirePassedEntry {
  1: required WireEntryKey key
  2: required i64 entry
}

struct WirePass {
  1: required i64 daemon
  2: required list<WirePassedEntry> entries
}

struct WireRetire {
  1: required i64 ward
  2: required i64 set_
}

union WireOwnershipRecord {
  1: WireJoin join
  2: WireLeaving leaving
  3: WireGone gone
  4: WirePlannerTerm plannerTerm
  5: WireAssign assign
  6: WirePin pin
  7: WirePin unpin
  8: WireHeld held
  9: WireGuardians guardians
  10: WireGuardiansSwitched guardiansSwitched
  11: WirePass passRecord
  12: WireRetire retire
}

struct WireDocumentEdit {
  1: required i64 writer
  2: required i64 sequence
  3: required string section
  4: required i64 baseVersion
  5: required i64 readThrough
  6: required string author
  7: required binary text
  8: required binary signature
}

struct WirePassedRank {
  1: required i32 rank
  2: required i64 at
}

struct WireEntry {
  1: required i64 offset
  2: required list<i64> holders
  3: optional i32 held
  4: required list<WirePassedRank> passes
}

struct WireChain {
  1: required WireEntryKey key
  2: required list<WireEntry> entries
}

struct WireMember {
  1: required i64 id
  2: required WireJoin join
  3: optional i64 leaving
}

struct WireGoneDaemon {
  1: required i64 daemon
  2: required i64 at
  3: required i32 cause
}

struct WireGuardianSet {
  1: required i64 offset
  2: required list<i64> guardians
}

struct WireGuardianSets {
  1: required i64 ward
  2: required WireGuardianSet current
  3: optional WireGuardianSet pending
}

struct WireOwnershipSnapshot {
  1: required i64 applied
  2: required i64 term
  3: required i64 planner
  4: required list<WireMember> members
  5: required list<WireGoneDaemon> gone
  6: required list<WireGuardianSets> guardians
  7: required list<WireChain> entries
}

struct WireSectionText {
  1: required i64 version
  2: required string author
  3: required binary text
}

struct WireSectionState {
  1: required string name
  2: required WireSectionText current
  3: required WireSectionText previous
}

struct WireJudgedEdit {
  1: required i64 writer
  2: required i64 sequence
  3: required i64 offset
  4: required string section
  5: required string author
  6: required i32 result
}

struct WireDeclaredRanges {
  1: required string serviceName
  2: required i32 ranges
}

struct WireDocumentSnapshot {
  1: required i64 through
  2: required i64 version
  3: required i64 forgotten
  4: required list<WireSectionState> sections
  5: required list<WireDeclaredRanges> ranges
  6: required list<WireJudgedEdit> history
}
