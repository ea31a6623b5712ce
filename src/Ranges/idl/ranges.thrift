// Records of hosts and ranges in the platform's keyed store. Regenerate the code
// with tools/generate.
namespace cpp pistachioshift.ranges_idl

struct WireServer {
  1: required string id
  2: required i64 bornMillis
  3: required i32 slots
  4: required i32 state
  5: optional bool leaving
}

struct WireServerEnd {
  1: required i64 id
  2: required list<i64> running
  3: required i64 atMillis
  4: optional i32 requests
}

struct WireAnsweredRequest {
  1: required i64 endId
  2: required i64 request
}

struct WireClaim {
  1: required i32 first
  2: required i32 last
  3: required i64 fence
  4: required string handover
}

struct WireHost {
  1: required string host
  2: required i64 epoch
  3: required string address
  4: required i32 port
  5: required string zone
  6: required string serviceName
  7: optional WireServer server
  8: required i64 cleared
  9: optional i32 cpuMillis
  10: optional list<WireServerEnd> serverEnds
  11: optional list<WireAnsweredRequest> answered
  12: optional i64 era
  13: optional list<WireClaim> claims
}

struct WireRow {
  1: required i32 first
  2: required i32 last
  3: required string host
  4: required string server
  5: required i64 bornMillis
  6: required i64 fence
  7: required string handover
  8: optional bool unconfirmed
}

struct WireServiceRows {
  1: required string serviceName
  2: required list<WireRow> rows
}

struct WireSuspicion {
  1: required string host
  2: required i64 number
}

struct WireTable {
  1: required i64 revision
  2: required i64 nextFence
  3: required i64 nextSuspicion
  4: required list<WireServiceRows> services
  5: required list<WireSuspicion> suspicions
  6: optional i64 era
  7: optional bool unsettled
  8: optional i64 writtenEra
}

// Sent between hosts only; the store contains whole tables.
struct WireTableChange {
  1: required i64 base
  2: required i64 revision
  3: required i64 nextFence
  4: required i64 nextSuspicion
  5: required list<WireServiceRows> services
  6: required list<WireSuspicion> suspicions
  7: optional i64 baseEra
  8: optional i64 era
  9: optional bool unsettled
}
