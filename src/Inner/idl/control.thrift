// Control messages between daemons, one per UDP datagram.
namespace cpp pistachioshift.wire

include "records.thrift"

struct WireApplied {
  1: required i64 ownership
  2: required i64 document
}

struct WireRenew {
  1: required i64 sequence
  2: required i64 set_
  3: required i64 version
  4: required WireApplied applied
}

struct WireRenewAck {
  1: required i64 sequence
  2: required i64 version
  3: required bool firm
  4: required bool sealed
  5: required WireApplied applied
}

struct WireSilence {
  1: required i64 ward
  2: required WireApplied applied
}

struct WireSealRequest {
  1: required i64 ward
}

struct WireSealReply {
  1: required i64 ward
  2: required i64 version
}

struct WireReleaseItem {
  1: required records.WireEntryKey key
  2: required i64 below
}

struct WireRelease {
  1: required list<WireReleaseItem> items
}

union WireControlMessage {
  1: WireRenew renew
  2: WireRenewAck renewAck
  3: WireSilence silence
  4: WireSealRequest sealRequest
  5: WireSealReply sealReply
  6: WireRelease releaseQuery
  7: WireRelease releaseReply
}

struct WireDatagram {
  1: required i64 sender
  2: required i64 addressee
  3: required WireControlMessage message
}
