#ifndef PISTACHIOSHIFT_HOSTDAEMON_SERVERDIALECT_H
#define PISTACHIOSHIFT_HOSTDAEMON_SERVERDIALECT_H

#include "src/Daemon/OwnerCall.h"
#include "src/Ranges/RangeTable.h"

namespace pistachioshift {

/** \brief How backend servers are told of requests and say what became of
 * them. */
class ServerDialect
{
public:
  virtual ~ServerDialect() = default;

  /**
   * \brief Turns a forwarded head into the one for the backend server.
   * \param aServer the only backend server that may run the request.
   * \param aLeft time until its deadline.
   */
  virtual void PrepareHead(RequestHead& aHead,
                           const ServerId& aServer,
                           Duration aLeft) const = 0;

  /** \brief Name of a request in log lines. */
  virtual std::string RequestLabel(const RequestHead& aHead) const = 0;

  /** \brief What the head of an answer says about a request. */
  virtual AnswerKind Classify(const RequestHead& aRequest,
                              const ResponseHead& aAnswer) const = 0;
};

}

#endif
