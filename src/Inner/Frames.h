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
#include "src/Ranges/KeyedStore.h"
#include "src/Ranges/LoadMap.h"
#include "src/Routing/Outcome.h"
#include "src/Routing/OutcomeTable.h"

namespace pistachioshift {

/** \brief Number of a request on one connection, drawn by the requester. */
using StreamId = StrongId<struct StreamIdTag, int64_t>;

/** \brief Number of an outcome query on one connection. */
using QueryId = StrongId<struct QueryIdTag, int64_t>;

/** \brief First frame in each direction of a connection. */
struct Hello
{
  static constexpr int32_t kProtocol = 1;

  BootId boot;
  int32_t protocol = kProtocol;
  DaemonId daemon;        ///< 0 before the daemon's join record was read back.
  TablePosition position; ///< Of the sender's outcome table.
};

/** \brief Opens a stream: a request for the holder of its key. */
struct RequestOpen
{
  StreamId stream;
  RequestId request;
  ServiceName service;
  std::string key;
  RequestHead head;
  Duration remaining{}; ///< Time left to the deadline when sent.
  bool hasBody = false;
  std::string idempotencyKey; ///< Empty: none was given.
  bool repeat = false;        ///< The caller sent this idempotency key before.
  TablePosition known;   ///< Position of the owner's table before the request.
  uint32_t priority = 0; ///< 0 is the most urgent.
  Duration goal{};       ///< Latency that is aimed at; zero: none.
};

/** \brief Piece of a request or response body. */
struct BodyChunk
{
  StreamId stream;
  std::string data;
  bool last = false;
};

/** \brief Permission to send `bytes` more body bytes on the stream. */
struct Credit
{
  StreamId stream;
  int64_t bytes = 0;
};

/** \brief Head of the backend server's answer. */
struct ResponseOpen
{
  StreamId stream;
  ResponseHead head;
  FenceToken token;
};

/** \brief The request got no answer from a backend server. */
struct Refused
{
  StreamId stream;
  Outcome outcome = Outcome::kUnknown;
  RefusalReason reason{};
  Duration retryAfter{};
  std::optional<DaemonId> holder; ///< Where the refusing daemon would ask.
};

/** \brief The requester no longer wants the answer. */
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

/** \brief Asks what became of a request; see OutcomeTable::Query. */
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

/** \brief Asks a peer for records that the log service can't give now. */
struct RecordsQuery
{
  StreamName stream;
  Offset from;
};

/** \brief Recent records from the asked offset on; empty if not kept. */
struct RecordsReply
{
  StreamName stream;
  std::vector<LogEntry> entries;
};

/** \brief Load of one entry at its holder: weighted service per second. */
struct ReportedEntry
{
  RangeIndex range;
  std::string pinnedKey; ///< Empty: the range itself.
  double load = 0.0;
};

/** \brief Load of one key that is not pinned, at least. */
struct ReportedKey
{
  std::string key;
  RangeIndex range;
  double load = 0.0;
};

/** \brief Holder to planner: the load of one service since the last report. */
struct LoadReport
{
  DaemonId daemon;
  ServiceName service;
  std::vector<ReportedEntry> entries; ///< Those with any load.
  std::vector<ReportedKey> hotKeys;
};

/** \brief What a host's backend server carries, told to the coordinator. */
struct HostReport
{
  HostName host;
  double capacity = 0.0; ///< Requests a second that it can finish.
  std::vector<LoadBucket> buckets;
};

/** \brief A range to be handed to another host. */
struct MoveOrder
{
  KeyRange range;
  HostName to;

  bool operator==(const MoveOrder&) const = default;
};

/** \brief The coordinator's answer to a report. */
struct HostOrders
{
  HostName host; ///< That answers; an address may have changed hands.
  std::vector<MoveOrder> moves;
  int64_t nextOffset = 0;          ///< End of the state that it has read.
  Duration age{};                  ///< Since it last saw that end.
  int64_t configurationOffset = 0; ///< Position of the configuration it knows.
};

/** \brief Asks a peer for the state, when the store gives no answer. */
struct StateQuery
{
  int64_t from = 0; ///< Offset up to which the asking host has read.
};

/** \brief What a peer has read from the store. */
struct StateReply
{
  Duration age{};         ///< Since the peer last saw the end of the topic.
  int64_t nextOffset = 0; ///< The entries reach up to this offset.
  std::vector<StoreEntry> entries;
};

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
                           StateReply>;

}

#endif
