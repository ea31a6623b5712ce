#ifndef PISTACHIOSHIFT_INNER_FRAMES_H
#define PISTACHIOSHIFT_INNER_FRAMES_H

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Http/Message.h"
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
  DaemonId daemon; ///< 0 before the daemon's join record was read back.
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
};

/** \brief Piece of a request or response body. */
struct BodyPiece
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
};

/** \brief Asks what became of a request; see OutcomeTable::Ask. */
struct OutcomeQuery
{
  QueryId query;
  RequestId request;
};

struct OutcomeReply
{
  QueryId query;
  AskReply reply;
};

using Frame = std::variant<Hello,
                           RequestOpen,
                           BodyPiece,
                           Credit,
                           ResponseOpen,
                           Refused,
                           CancelStream,
                           Ping,
                           Pong,
                           OutcomeQuery,
                           OutcomeReply>;

}

#endif
