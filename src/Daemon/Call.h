#ifndef PISTACHIOSHIFT_DAEMON_CALL_H
#define PISTACHIOSHIFT_DAEMON_CALL_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Http/Message.h"
#include "src/Routing/Outcome.h"
#include "src/Routing/OutcomeTable.h"

namespace pistachioshift {

/** \brief One attempt to run a request at the daemon that holds its key. */
struct CallRequest
{
  RequestId id;
  ServiceName service;
  std::string key; ///< Empty for a service that isn't sharded by key.
  RequestHead head;
  MonoTime deadline; ///< By when the head of the response is due.
  bool hasBody = false;
  std::string idempotencyKey;
  bool repeat = false;   ///< The caller has sent this idempotency key before.
  TablePosition known;   ///< Last known position of the holder's outcome table.
  uint32_t priority = 0; ///< 0 is the most urgent.
  Duration goal{};       ///< Target latency; zero: none.
  RequestFingerprint fingerprint;
  bool nested = false; ///< Made by a backend server while it runs a request.
  /// The body is sent only once the holder's daemon has granted credit for it.
  bool awaitsCredit = false;
};

/** \brief How an attempt ended that got no response from a backend server. */
struct CallRefusal
{
  Outcome outcome = Outcome::kNotRun;
  RefusalReason reason = RefusalReason::kNotOwner;
  Duration retryAfter{};
  /// Daemon that holds the key according to the refusing daemon.
  std::optional<DaemonId> holder;
};

/** \brief How the connection to the key's holder failed. */
enum class CallLoss
{
  kNotSent,   ///< Nothing left this process, or the peer did not run it.
  kClosed,    ///< Closed or reset before the head of the response.
  kSilent,    ///< Heartbeats went unanswered before the head of the response.
  kTruncated, ///< Failed after the head of the response.
};

/**
 * \brief Receives the response to one attempt.
 *
 * OnEnd, OnRefused or OnLost is the last call.
 */
class CallListener
{
public:
  virtual ~CallListener() = default;
  virtual void OnHead(const ResponseHead& aHead, const FenceToken& aToken) = 0;
  virtual void OnBody(std::string_view aData) = 0;
  virtual void OnEnd() = 0;

  /** \brief More body may be sent, after SendBody returned false. */
  virtual void OnDrained() = 0;

  /**
   * \brief The body of a request that awaits credit may be sent from now on.
   * \param aBytes credit; more than the body, so that its end is sent too.
   */
  virtual void OnCredit(int64_t /*aBytes*/) {}

  virtual void OnRefused(const CallRefusal& aRefusal) = 0;
  virtual void OnLost(CallLoss aLoss) = 0;
};

/** \brief An attempt in progress; calls after its end have no effect. */
class Call
{
public:
  virtual ~Call() = default;

  /**
   * \brief Sends body bytes.
   * \return false from when too many wait until OnDrained. A part that is sent
   * in between is accepted too.
   */
  virtual bool SendBody(std::string_view aData) = 0;

  /** \brief Ends the request body; required also if the request has none. */
  virtual void Finish() = 0;

  virtual void PauseBody() = 0;
  virtual void ResumeBody() = 0;

  /** \brief Cancels the attempt; the listener isn't called any more. */
  virtual void Cancel() = 0;

  /**
   * \brief Called when the requester has disconnected.
   *
   * Cancels the attempt unless the request has started and its response can
   * still be cached for an outcome query.
   */
  virtual void Abandon() { Cancel(); }
};

/** \brief Runs attempts at the daemon that holds their key. */
class CallServer
{
public:
  virtual ~CallServer() = default;

  /**
   * \brief Starts an attempt.
   *
   * The listener is called from the event loop only, never from this call.
   */
  virtual std::shared_ptr<Call> Start(
    CallRequest aRequest,
    std::shared_ptr<CallListener> aListener) = 0;

  /** \brief Outcome of a request; an id never seen before is poisoned. */
  virtual OutcomeQueryResult QueryOutcome(const RequestId& aId,
                                          TablePosition aKnown) = 0;

  /** \brief Position of the outcome table, as sent to other daemons. */
  virtual TablePosition Position() const = 0;
};

}

#endif
