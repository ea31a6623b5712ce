#ifndef PISTACHIOSHIFT_HOSTDAEMON_SERVERDIALECT_H
#define PISTACHIOSHIFT_HOSTDAEMON_SERVERDIALECT_H

#include <optional>

#include "src/Daemon/OwnerCall.h"
#include "src/Ranges/RangeTable.h"

namespace pistachioshift {

/** \brief What a backend server states about itself in an answer. */
struct ServerNotice
{
  /// Requests per second that it takes from all hosts together.
  std::optional<double> requestLimit;
  /// The limit is stated, but it is not a number of zero or more.
  bool malformedLimit = false;
  bool leaving = false; ///< It is about to stop.
};

/** \brief Translates request and response heads to and from the form that
 * backend servers use. */
class ServerDialect
{
public:
  virtual ~ServerDialect() = default;

  /**
   * \brief Turns the head of a forwarded request into the one for the backend
   * server.
   * \param aServer the only backend server that may run the request.
   * \param aLeft time until the request's deadline.
   */
  virtual void PrepareHead(RequestHead& aHead,
                           const ServerId& aServer,
                           Duration aLeft) const = 0;

  /** \brief Identifies a request in log lines. */
  virtual std::string RequestLabel(const RequestHead& aHead) const = 0;

  /** \brief Determines from an answer's head whether the request was run. */
  virtual AnswerKind Classify(const RequestHead& aRequest,
                              const ResponseHead& aAnswer) const = 0;

  /** \brief Reads the answer to a health check: the server that gave it, if it
   * runs and is not about to stop. */
  virtual std::optional<ServerId> ReadHealth(
    const ResponseHead& aAnswer) const = 0;

  /** \brief Reads from the answer to a health check for how long the backend
   * server stays cold; zero: it is warm; nullopt: not stated. */
  virtual std::optional<Duration> ReadColdTime(const ResponseHead&) const
  {
    return std::nullopt;
  }

  /** \brief Reads what the backend server states about itself. */
  virtual ServerNotice ReadNotice(const ResponseHead& aAnswer) const = 0;
};

}

#endif
