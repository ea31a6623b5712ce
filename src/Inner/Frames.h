#ifndef PISTACHIOSHIFT_INNER_FRAMES_H
#define PISTACHIOSHIFT_INNER_FRAMES_H

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Http/Message.h"
#include "src/Log/LogService.h"
#include "src/Ranges/GrantManager.h"
#include "src/Ranges/KeyedStore.h"
#include "src/Ranges/LoadMap.h"
#include "src/Routing/Outcome.h"
#include "src/Routing/OutcomeTable.h"

namespace pistachioshift {

/** \brief Identifies a request on one connection; assigned by the requester. */
using StreamId = StrongId<struct StreamIdTag, int64_t>;

/** \brief Identifies an outcome query on one connection. */
using QueryId = StrongId<struct QueryIdTag, int64_t>;

/** \brief First frame in each direction of a connection. */
struct Hello
{
  static constexpr int32_t kProtocol = 1;

  BootId boot;
  int32_t protocol = kProtocol;
  DaemonId daemon;        ///< 0 until the daemon has read back its join record.
  TablePosition position; ///< Position of the sender's outcome table.
  /// Form of compressed blocks that the sender reads; 0: none.
  int32_t compression = 0;
  /// Time since the sender started; stated by the end that accepts connections.
  std::optional<Duration> uptime;
};

/** \brief Opens a stream: forwards a request to the holder of its key. */
struct RequestOpen
{
  StreamId stream;
  RequestId request;
  ServiceName service;
  std::string key;
  RequestHead head;
  Duration remaining{}; ///< Time until the deadline, when sent.
  bool hasBody = false;
  std::string idempotencyKey; ///< Empty if the caller gave none.
  bool repeat = false;        ///< The caller sent this idempotency key before.
  TablePosition known;   ///< Owner's outcome table position before the request.
  uint32_t priority = 0; ///< 0 is the most urgent.
  Duration goal{};       ///< Target latency; zero: none.
  RequestFingerprint fingerprint;
  bool nested = false; ///< Made by a backend server while it runs a request.
  /// The body is sent only once the receiver has granted credit for it.
  bool awaitsCredit = false;
};

/** \brief Part of a request or response body. */
struct BodyChunk
{
  StreamId stream;
  std::string data;
  bool last = false;
};

/** \brief Flow control: allows the peer to send `bytes` more body bytes on the
 * stream. */
struct Credit
{
  StreamId stream;
  int64_t bytes = 0;
};

/** \brief Head of the backend server's response. */
struct ResponseOpen
{
  StreamId stream;
  ResponseHead head;
  FenceToken token;
};

/** \brief The request was not answered by a backend server. */
struct Refused
{
  StreamId stream;
  Outcome outcome = Outcome::kUnknown;
  RefusalReason reason{};
  Duration retryAfter{};
  std::optional<DaemonId> holder; ///< Where the refusing daemon would send it.
};

/** \brief The requester no longer needs the response. */
struct CancelStream
{
  StreamId stream;
};

struct Ping
{
  int64_t sequence = 0;
};

struct Pong
{
  int64_t sequence = 0;
  TablePosition position;
};

/** \brief Queries the outcome of a request; see OutcomeTable::Query. */
struct OutcomeQuery
{
  QueryId query;
  RequestId request;
  TablePosition known;
};

struct OutcomeReply
{
  QueryId query;
  OutcomeQueryResult result;
};

/** \brief Requests log records from a peer while the log service is
 * unavailable. */
struct RecordsQuery
{
  StreamName stream;
  Offset from;
};

/** \brief Recent records from the requested offset on; empty if the peer no
 * longer has them. */
struct RecordsReply
{
  StreamName stream;
  std::vector<LogEntry> entries;
};

/** \brief Load of one entry at its holder, as weighted service per second. */
struct ReportedEntry
{
  RangeIndex range;
  std::string pinnedKey; ///< Empty for the range itself.
  double load = 0.0;
};

/** \brief Lower bound of the load of one key that is not pinned. */
struct ReportedKey
{
  std::string key;
  RangeIndex range;
  double load = 0.0;
};

/** \brief Sent by a holder to the planner: load of one service since the last
 * report. */
struct LoadReport
{
  DaemonId daemon;
  ServiceName service;
  std::vector<ReportedEntry> entries; ///< Only entries with load.
  std::vector<ReportedKey> hotKeys;
};

/** \brief Sent by a host to the coordinator: capacity and load of its backend
 * server. */
struct HostReport
{
  HostName host;
  double capacity = 0.0; ///< Requests per second that it can complete.
  std::vector<LoadBucket> buckets;
  StorePosition configuration; ///< Position of its configuration.
  uint64_t configurationVersion = 0;
};

/** \brief Order to hand a range over to another host. */
struct MoveOrder
{
  KeyRange range;
  HostName to;

  bool operator==(const MoveOrder&) const = default;
};

/** \brief The coordinator's reply to a HostReport. */
struct HostOrders
{
  HostName host; ///< Sender; its address may belong to another host by now.
  std::vector<MoveOrder> moves;
  StorePosition end;           ///< Of the state that the sender has read.
  Duration age{};              ///< Time since the sender last saw that end.
  StorePosition configuration; ///< Position of its configuration.
  uint64_t configurationVersion = 0;
  /// Time since the sender last knew of no record after that position; empty if
  /// it never did.
  std::optional<Duration> configurationAge;
};

/** \brief Requests the state from a peer while the store does not answer. */
struct StateQuery
{
  StorePosition from; ///< Up to which the requesting host has read.
};

/** \brief State entries that a peer has read from the store. */
struct StateReply
{
  Duration age{};     ///< Time since the peer last saw the end of the topic.
  StorePosition next; ///< The entries reach up to this position.
  std::vector<StoreEntry> entries;
  /// Hosts to which the receiver forwards the entries.
  std::vector<HostName> relayTo;
  /// The entries are the whole state, of a later era than the one asked for, or
  /// all records of the operator that are in force.
  bool snapshot = false;
};

/** \brief Records of the operator's configuration, sent on to other hosts. */
struct ConfigurationUpdate
{
  StateReply records;
};

/** \brief The records of an update, as if they had been read from the store. */
inline StoreRecords
RecordsOf(const ConfigurationUpdate& aUpdate)
{
  const auto& next = aUpdate.records.next;
  return { aUpdate.records.entries,
           next.offset,
           next.offset,
           next.era,
           aUpdate.records.snapshot };
}

/**
 * \brief Last frame of a daemon that stops. Requests on this connection that it
 * has not answered by now have not run and never will.
 */
struct Goodbye
{};

using Frame = std::variant<Hello,
                           RequestOpen,
                           BodyChunk,
                           Credit,
                           ResponseOpen,
                           Refused,
                           CancelStream,
                           Ping,
                           Pong,
                           OutcomeQuery,
                           OutcomeReply,
                           RecordsQuery,
                           RecordsReply,
                           LoadReport,
                           HostReport,
                           HostOrders,
                           StateQuery,
                           StateReply,
                           Goodbye,
                           RangeRelease,
                           ConfigurationUpdate>;

}

#endif
