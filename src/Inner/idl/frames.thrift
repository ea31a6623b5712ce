// Frames on the TCP connections between daemons. Each frame is sent as a 4-byte
// big-endian length followed by one WireFrame in the compact protocol. If both
// ends have stated the same form of compression in their WireHello, a length
// with its highest bit set precedes a compressed block: raw deflate data of
// whole frames, each with its own length. All blocks of one direction form one
// deflate stream; the 4 bytes that end a sync flush are left out.
namespace cpp pistachioshift.wire

struct WireRequestId {
  1: required i64 high
  2: required i64 low
}

struct WireToken {
  1: required i64 entry
  2: required i8 rank
}

struct WireHeader {
  1: required string name
  2: required string value
}

struct WireHello {
  1: required i64 boot
  2: required i32 protocol
  3: required i64 daemon
  4: required i64 position
  5: optional i32 compression
  6: optional i64 uptimeMicros
}

struct WireRequestOpen {
  1: required i64 stream
  2: required WireRequestId request
  3: required string serviceName
  4: required string key
  5: required string method
  6: required string target
  7: required list<WireHeader> headers
  8: required i64 remainingMicros
  9: optional i64 contentLength
  10: required bool hasBody
  11: optional string idempotencyKey
  12: required i64 known
  13: required bool isRepeat
  14: optional i32 priority
  15: optional i64 goalMicros
  16: optional i64 fingerprint
  17: optional bool nested
  18: optional bool awaitsCredit
}

struct WireBody {
  1: required i64 stream
  2: required binary data
  3: required bool last
}

struct WireCredit {
  1: required i64 stream
  2: required i64 bytes
}

struct WireResponseOpen {
  1: required i64 stream
  2: required i32 status
  3: required list<WireHeader> headers
  4: optional i64 contentLength
  5: required WireToken token
}

struct WireRefused {
  1: required i64 stream
  2: required i32 outcome
  3: required i32 reason
  4: required i64 retryAfterMicros
  5: optional i64 holder
}

struct WireCancel {
  1: required i64 stream
}

struct WirePing {
  1: required i64 sequence
}

struct WirePong {
  1: required i64 sequence
  2: required i64 position
}

struct WireOutcomeQuery {
  1: required i64 query
  2: required WireRequestId request
  3: required i64 known
}

struct WireOutcomeReply {
  1: required i64 query
  2: required i32 state
  3: optional i32 status
  4: optional binary payload
}

struct WireLogEntry {
  1: required i64 offset
  2: required binary payload
}

struct WireRecordsQuery {
  1: required string stream
  2: required i64 from_
}

struct WireRecordsReply {
  1: required string stream
  2: required list<WireLogEntry> entries
}

struct WireEntryLoad {
  1: required i32 range_
  2: optional string pinnedKey
  3: required double load
}

struct WireKeyLoad {
  1: required string key
  2: required i32 range_
  3: required double load
}

struct WireLoadReport {
  1: required i64 daemon
  2: required string serviceName
  3: required list<WireEntryLoad> entries
  4: required list<WireKeyLoad> hotKeys
}

struct WireBucket {
  1: required i32 first
  2: required i32 last
  3: required double load
}

struct WireHostReport {
  1: required string host
  2: required double capacity
  3: required list<WireBucket> buckets
  4: optional i64 configurationEra
  5: optional i64 configuration
  6: optional i64 configurationVersion
}

struct WireMove {
  1: required i32 first
  2: required i32 last
  3: required string to
}

struct WireHostOrders {
  1: required list<WireMove> moves
  2: required string host
  3: required i64 ageMicros
  4: required i64 nextOffset
  5: required i64 configuration
  6: optional i64 configurationAgeMicros
  7: optional i64 era
  8: optional i64 configurationEra
  9: optional i64 configurationVersion
}

struct WireStateQuery {
  1: required i64 from_
  2: optional i64 era
}

struct WireStateEntry {
  1: required string key
  2: optional binary value
  3: required i64 offset
}

struct WireStateReply {
  1: required i64 ageMicros
  2: required i64 nextOffset
  3: required list<WireStateEntry> entries
  4: optional list<string> relayTo
  5: optional i64 era
  6: optional bool snapshot
}

struct WireRelinquished {
  1: required i32 first
  2: required i32 last
  3: required i64 fence
  4: required string handover
  5: optional string nextHost
  6: optional string nextServer
  7: optional i64 nextBornMillis
}

struct WireRangeRelease {
  1: required string host
  2: required string server
  3: required i64 bornMillis
  4: required string serviceName
  5: required list<WireRelinquished> ranges
  6: required i64 epoch
}

struct WireGoodbye {
}

union WireFrame {
  1: WireHello hello
  2: WireRequestOpen requestOpen
  3: WireBody body
  4: WireCredit credit
  5: WireResponseOpen responseOpen
  6: WireRefused refused
  7: WireCancel cancel
  8: WirePing ping
  9: WirePong pong
  10: WireOutcomeQuery outcomeQuery
  11: WireOutcomeReply outcomeReply
  12: WireRecordsQuery recordsQuery
  13: WireRecordsReply recordsReply
  14: WireLoadReport loadReport
  15: WireHostReport hostReport
  16: WireHostOrders hostOrders
  17: WireStateQuery stateQuery
  18: WireStateReply stateReply
  19: WireGoodbye goodbye
  20: WireRangeRelease rangeRelease
  21: WireStateReply configuration
}
