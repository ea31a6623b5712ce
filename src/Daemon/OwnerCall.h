#ifndef PISTACHIOSHIFT_DAEMON_OWNERCALL_H
#define PISTACHIOSHIFT_DAEMON_OWNERCALL_H

#include <memory>
#include <string>

#include "Pistachioshift/Http"
#include "Pistachioshift/Routing"
#include "src/Daemon/BodyTimeLimit.h"
#include "src/Daemon/Call.h"
#include "src/Daemon/EntryTable.h"
#include "src/Daemon/Fields.h"
#include "src/Daemon/Metrics.h"
#include "src/Daemon/Timer.h"

namespace pistachioshift {

class OwnerCall;

/** \brief Classification of a backend server's response by its head. */
enum class AnswerKind : uint8_t
{
  kAnswer,  ///< The response to this request; forwarded.
  kNotRun,  ///< The backend server refused the request without running it.
  kInvalid, ///< The response to another request, or not authentic.
};

/** \brief Implemented by the task that admits calls and runs them. */
class CallDelegate
{
public:
  CallDelegate(const Clock& aClock, Metrics& aMetrics)
    : m_clock(aClock)
    , m_metrics(aMetrics)
  {
  }
  virtual ~CallDelegate() = default;

  /** \brief Final check immediately before the request is written. */
  virtual bool MayStart(const OwnerCall& aCall) const = 0;

  /** \brief Head of the request as it is sent to the backend server. */
  virtual RequestHead ServerHead(const OwnerCall& aCall) const = 0;

  virtual AnswerKind Classify(const OwnerCall& aCall,
                              const ResponseHead& aHead) const = 0;

  /** \brief Called for the head of each valid answer, refusals included. */
  virtual void OnAnswerHead(const OwnerCall&, const ResponseHead&) {}

  /** \brief Daemon to try next after a call is refused with kNotOwner. */
  virtual std::optional<DaemonId> HolderHint(const OwnerCall& aCall) const = 0;

  virtual void OnEnded(OwnerCall& aCall, ServiceResult aResult) = 0;

  /** \brief Called before a call ends because its exchange with the backend
   * server has failed. */
  virtual void OnServerFailed(const OwnerCall&, ClientFailure) {}

  /** \brief Called for body bytes that are passed on as they arrive. */
  virtual void OnRequestBytes(size_t) {}

  /** \brief Called for bytes of a body that is received before its request
   * may start, and when such a body is complete. */
  virtual void OnUploadBytes(OwnerCall&, size_t) {}
  virtual void OnUploadReceived(OwnerCall&) {}

  /** \brief Called if this daemon, and not the backend server, takes a call for
   * not run although its request has been written; used for logging. */
  virtual void OnWithdrawnAfterStart(const OwnerCall&, RefusalReason) {}

  /** \brief Called before a call is refused; used for logging. */
  virtual void OnRefusing(const OwnerCall&, const CallRefusal&) {}

protected:
  friend class OwnerCall;

  const Clock& m_clock;
  Metrics& m_metrics;
  OutcomeTable m_outcomes;
};

/** \brief One request at the daemon that holds its key. */
class OwnerCall
  : public Call
  , public ClientListener
  , public std::enable_shared_from_this<OwnerCall>
{
public:
  OwnerCall(event_base* aBase,
            CallDelegate& aDelegate,
            CallRequest aRequest,
            std::shared_ptr<CallListener> aListener);

  // Call
  bool SendBody(std::string_view aData) override;
  void Finish() override;
  void PauseBody() override;
  void ResumeBody() override;
  void Cancel() override;
  void Abandon() override;

  // ClientListener
  void OnHead(const ResponseHead& aHead) override;
  void OnBody(std::string_view aData) override;
  void OnEnd() override;
  void OnDrained() override;
  void OnFailed(ClientFailure aFailure) override;

private:
  friend class BackendTask;
  friend class RangeServerTask;

  enum class State
  {
    kNew,
    kHeld,      ///< Waits until this daemon holds the entry.
    kUploading, ///< Waits for credit, or for the body that has credit.
    kQueued,    ///< Waits in the admission queue.
    kRunning,   ///< Passed to the HTTP client of the backend server.
    kEnded,
  };

  const CallRequest& Request() const { return m_request; }
  void StartDeadlineTimer();
  void StartHoldTimer(Duration aMaxHold);
  void OnDeadline();
  void StartBodyTimer();
  void OnBodyTimer();
  void ReceiveUpload(std::string_view aData);
  void FinishUpload();
  void OnHoldExpired();
  /**
   * Sends the request to the backend server. CallDelegate::MayStart is checked
   * immediately before the write (rule R1).
   */
  void Start(HttpClientPool& aPool);
  void Refuse(RefusalReason aReason, Duration aRetryAfter);
  void Refuse(const CallRefusal& aRefusal);
  bool IsWithdrawnAfterStart(const CallRefusal& aRefusal) const;
  void ReplayResponse(const CachedResponse& aAnswer);
  void EndWith(ServiceResult aResult);
  void CacheAnswerBytes(std::string_view aData);
  std::optional<CachedResponse> MakeCachedResponse() const;

  CallDelegate& m_delegate;
  CallRequest m_request;
  std::shared_ptr<CallListener> m_listener;
  State m_state = State::kNew;
  std::optional<EntryKey> m_entry; ///< None for any-instance services.
  std::optional<FenceToken> m_token;
  ClassIndex m_class;
  MonoTime m_startedAt; ///< When the state became kRunning.
  /// Reason of the refusal if the call is held for too long.
  RefusalReason m_holdRefusal = RefusalReason::kNotOwner;
  bool m_inOutcomeTable = false; ///< The outcome table lists it as running.
  /// Included in the entry's count of running requests.
  bool m_countedAsRunning = false;
  bool m_paused = false;
  bool m_finished = false;    ///< The request body is complete.
  bool m_bodyBlocked = false; ///< SendBody returned false.
  bool m_headSeen = false;
  bool m_answerComplete = false;
  std::string m_bufferedBody;
  std::shared_ptr<ClientExchange> m_exchange;
  ResponseHead m_answerHead;
  std::string m_answerBody;
  size_t m_answerBytes = 0;
  /// Expected response size that is reserved on the link.
  size_t m_reservedLinkBytes = 0;
  bool m_answerTooLarge = false;
  BodyTimeLimit m_bodyLimit; ///< From the head of the answer on.
  Timer m_deadlineTimer;
  Timer m_bodyTimer;
  Timer m_holdTimer;
};

}

#endif
