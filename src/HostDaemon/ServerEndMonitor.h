#ifndef PISTACHIOSHIFT_HOSTDAEMON_SERVERENDMONITOR_H
#define PISTACHIOSHIFT_HOSTDAEMON_SERVERENDMONITOR_H

#include <optional>
#include <vector>

#include "Pistachioshift/Ranges"
#include "src/Base/Clock.h"

namespace pistachioshift {

/**
 * \brief Tells the end of the backend server from the loss of connections to
 * it. Performs no I/O.
 *
 * Connections are also reset while the server runs on. It has ended if nothing
 * listens at its address any more or another incarnation has started there, and
 * if no request that was started after the loss has been answered.
 */
class ServerEndMonitor
{
public:
  /** \brief The exchange of a request that the server may have begun to run has
   * ended without a whole answer: the connection was lost, or the request was
   * cancelled. */
  void OnUnanswered(RequestFingerprint aRequest, MonoTime aNow);

  /** \brief The server has answered a request that was started at aStartedAt.
   */
  void OnAnswered(MonoTime aStartedAt);

  /**
   * \brief Nothing listens at the address of the server, or another
   * incarnation does.
   * \return the end of aIncarnation if requests were lost by it; once for each
   * incarnation.
   */
  std::optional<ServerEndRecord> OnEndProven(
    const ServerIncarnation& aIncarnation);

private:
  struct Loss
  {
    RequestFingerprint request;
    MonoTime at;
  };

  std::vector<Loss> m_losses; ///< Not yet attributed; oldest first.
};

}

#endif
