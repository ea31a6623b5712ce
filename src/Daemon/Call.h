#ifndef PISTACHIOSHIFT_DAEMON_CALL_H
#define PISTACHIOSHIFT_DAEMON_CALL_H

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

/** \brief One attempt to have a request served by a key's holder. */
struct CallRequest
{
  RequestId id;
  ServiceName service;
  std::string key; ///< Empty for a service not divided by key.
  RequestHead head;
  MonoTime deadline; ///< For the head of the answer.
  bool hasBody = false;
  std::string idempotencyKey;
  bool repeat = false; ///< The caller sent this idempotency key before.
  TablePosition known;
  uint32_t priority = 0; ///< 0 is the most urgent.
  Duration goal{};       ///< Latency that is aimed at; zero: none.
};

/** \brief An attempt ended without an answer of a backend server. */
struct CallRefusal
{
  Outcome outcome = Outcome::kNotRun;
  RefusalReason reason = RefusalReason::kNotOwner;
  Duration retryAfter{};
  std::optional<DaemonId> holder; ///< Where the refusing daemon would ask.
};

/** \brief How the way to the holder was lost. */
enum class CallLoss
{
  kNotSent, ///< Nothing left this process.
  kClosed,
  kSilent,
  kTruncated, ///< After a part of the answer.
};

/** \brief Receives the answer; nothing follows OnEnd, OnRefused, OnLost. */
class CallListener
{
public:
  virtual ~CallListener() = default;
  virtual void OnHead(const ResponseHead& aHead, const FenceToken& aToken) = 0;
  virtual void OnBody(std::string_view aData) = 0;
  virtual void OnEnd() = 0;
  virtual void OnDrained() = 0;
  virtual void OnRefused(const CallRefusal& aRefusal) = 0;
  virtual void OnLost(CallLoss aLoss) = 0;
};

/** \brief An attempt in progress; calls after its end do nothing. */
class Call
{
public:
  virtual ~Call() = default;

  /** \brief Sends body bytes; false: wait for OnDrained. */
  virtual bool SendBody(std::string_view aData) = 0;

  /** \brief Ends the request body; needed also without one. */
  virtual void Finish() = 0;

  virtual void PauseBody() = 0;
  virtual void ResumeBody() = 0;

  /** \brief Gives up; the listener hears nothing more. */
  virtual void Cancel() = 0;

  /**
   * \brief The requester is gone: gives up unless the request has started and
   * its answer can still be kept for an outcome query.
   */
  virtual void Abandon() { Cancel(); }
};

/** \brief Serves attempts at the daemon of a key's holder. */
class CallServer
{
public:
  virtual ~CallServer() = default;

  /** \brief Begins an attempt; its listener is called from the loop only. */
  virtual std::shared_ptr<Call> Start(
    CallRequest aRequest,
    std::shared_ptr<CallListener> aListener) = 0;

  /** \brief What became of a request; poisons what was never seen. */
  virtual OutcomeQueryResult QueryOutcome(const RequestId& aId,
                                          TablePosition aKnown) = 0;

  /** \brief Position of the outcome table, for other daemons. */
  virtual TablePosition Position() const = 0;
};

}

#endif
