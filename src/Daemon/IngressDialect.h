#ifndef PISTACHIOSHIFT_DAEMON_INGRESSDIALECT_H
#define PISTACHIOSHIFT_DAEMON_INGRESSDIALECT_H

#include <optional>
#include <string>
#include <variant>

#include "src/Daemon/RequestRouter.h"
#include "src/Daemon/ResolvedRequest.h"
#include "src/Routing/Outcome.h"

namespace pistachioshift {

/** \brief Why a request ends without an answer of a backend server. */
struct RefusalNotice
{
  Outcome outcome = Outcome::kNotRun;
  RefusalReason reason = RefusalReason::kNotOwner;
  Duration retryAfter{}; ///< Zero: not known.
};

/** \brief How a request went, for the log. */
struct IngressRecord
{
  const ResolvedRequest* resolved = nullptr; ///< None if it could not be read.
  Outcome outcome = Outcome::kUnknown;
  std::optional<RefusalReason> reason; ///< None for a passed-on answer.
  int status = 0;                      ///< 0: the connection was closed.
  uint32_t attempts = 0;
  std::optional<DaemonId> daemon; ///< Asked last.
  Duration elapsed{};
};

/** \brief A whole answer of the daemon's own. */
struct LocalResponse
{
  ResponseHead head; ///< Without the length of the body.
  std::string body;
};

/** \brief How callers express requests and are told of outcomes. */
class IngressDialect
{
public:
  virtual ~IngressDialect() = default;

  /**
   * \brief Finds service, key, class and deadline of a request, and turns its
   * head into the one to be forwarded.
   */
  virtual std::variant<ResolvedRequest, RefusalReason> Read(
    RequestHead& aHead) = 0;

  /** \brief Turns the backend server's head into the one for the caller. */
  virtual void CompleteAnswer(ResponseHead& aHead,
                              const Destination& aDestination,
                              const FenceToken& aToken) = 0;

  virtual LocalResponse Refuse(const RefusalNotice& aNotice) = 0;

  /** \brief From now on new requests are refused: the process ends. */
  virtual void BeginClosing() {}

  /** \brief A request is about to be sent again. */
  virtual void OnRetry(const ResolvedRequest&,
                       RetryReason,
                       const IngressRecord&)
  {
  }

  /** \brief A request has ended; called once for each. */
  virtual void OnDone(const IngressRecord&) {}
};

}

#endif
