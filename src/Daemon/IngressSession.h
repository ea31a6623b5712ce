#ifndef PISTACHIOSHIFT_DAEMON_INGRESSSESSION_H
#define PISTACHIOSHIFT_DAEMON_INGRESSSESSION_H

#include <memory>
#include <optional>
#include <string>

#include "src/Daemon/AnswerCodec.h"
#include "src/Daemon/BulkSender.h"
#include "src/Daemon/DownloadResume.h"
#include "src/Daemon/IngressTask.h"
#include "src/Daemon/ResolvedRequest.h"
#include "src/Daemon/Timer.h"

namespace pistachioshift {

class IngressAttempt;

/** \brief One request of a caller, across all its attempts. */
class IngressSession
  : public ServerListener
  , public BulkSink
  , public std::enable_shared_from_this<IngressSession>
{
public:
  IngressSession(const IngressContext& aContext,
                 std::shared_ptr<ServerExchange> aExchange);

  void Start();

  /**
   * \brief Refuses the request, or flushes the response if it has begun;
   * called when the process ends.
   */
  void FailOnShutdown();

  // ServerListener
  void OnBody(std::string_view aData) override;
  void OnBodyEnd() override;
  void OnDrained() override;
  void OnBodyTimeout() override { GiveUp(RefusalReason::kBodyTimeout); }
  void OnAborted(AbortReason aReason) override;

  // BulkSink
  void SendNow(std::string_view aData) override;
  void FinishNow() override;

  // From the attempt in progress
  void OnHead(const ResponseHead& aHead, const FenceToken& aToken);
  void OnAnswerBody(std::string_view aData);
  void OnAnswerEnd();
  void OnAttemptDrained();
  void OnAttemptCredit();
  void OnRefused(const CallRefusal& aRefusal);
  void OnLost(CallLoss aLoss);

private:
  bool AwaitsCredit() const;
  void ReadOnCredit();
  bool MayHaveRun() const;
  void ReportRefusal(const CallRefusal& aRefusal);
  void BeginAttempt();
  void SendBuffered();
  CallRequest MakeRequest() const;
  AttemptReport MakeReport() const;
  void Decide(const AttemptReport& aReport);
  void Execute(const RetryDecision& aDecision);
  void QueryOwner();
  void OnOutcome(const OutcomeQueryResult& aResult);
  std::optional<DecodedResponse> TryDecode(const CachedResponse& aAnswer) const;
  void SendStoredAnswer(const DecodedResponse& aAnswer);
  void Refuse(Outcome aOutcome, RefusalReason aReason);
  void OnTimer();
  void OnDeadline() { GiveUp(RefusalReason::kDeadlineExpired); }
  void GiveUp(RefusalReason aReason);
  void CloseAttempt();
  void SendPendingHead();
  void SendAnswerBody(std::string_view aData);
  void UpdateFlow();
  void OnTruncated();
  void TryResume();
  void ReportToBalancer(InstanceResult aResult);
  IngressRecord MakeRecord() const;
  void Done(Outcome aOutcome);

  const IngressContext& m_context;
  std::shared_ptr<ServerExchange> m_exchange;
  ResolvedRequest m_resolved;
  RequestHead m_head;
  MonoTime m_arrived;
  MonoTime m_deadline;
  std::string m_body; ///< Start of the request body, kept for retries.
  bool m_bodyEnded = false;
  bool m_streaming = false; ///< The body is forwarded as it arrives.
  bool m_replayable = true; ///< m_body holds all of the body received so far.
  bool m_awaitsCredit = false; ///< Attempts begin without the body.
  bool m_hasCredit = false;    ///< The attempt accepts the body.
  bool m_bodySent = false;     ///< The attempt was sent the whole body.
  bool m_answerBegun = false;  ///< The caller has been sent the head.
  bool m_resuming = false;     ///< A download continues on another attempt.
  std::optional<ResponseHead> m_pendingHead; ///< Held until the body starts.
  std::string m_heldBody; ///< Start of a short answer that isn't whole yet.
  std::optional<uint64_t> m_answerLength; ///< In the head, if it was sent.
  std::shared_ptr<BulkSender> m_sender;   ///< Set once the head has been sent.
  bool m_callerWritable = true;           ///< The exchange accepts more bytes.
  bool m_answerFlowing = true; ///< The attempt's response isn't paused.
  DownloadResume m_resume;
  bool m_ended = false;
  bool m_isResolved = false;   ///< The dialect accepted the request.
  uint32_t m_possibleRuns = 0; ///< Ended attempts that may have run.
  uint32_t m_sheds = 0;        ///< Refusals by a backend server itself.
  int m_status = 0;            ///< Sent to the caller; 0: none.
  std::optional<RefusalReason> m_reason;
  std::string_view m_cut;   ///< Why the response isn't complete, if so.
  size_t m_answerBytes = 0; ///< Of the response's body, sent to the caller.
  AttemptHistory m_history;
  AttemptReport m_report; ///< Last attempt, kept for the outcome query.
  std::optional<Destination> m_destination;
  bool m_awaitsEnd = false; ///< The balancer counts the last attempt.
  RequestId m_requestId;
  TablePosition m_known; ///< Of the destination's outcome table.
  MonoTime m_attemptStarted;
  std::shared_ptr<IngressAttempt> m_attempt;
  std::shared_ptr<Call> m_call;
  /// From the last refusal as not run, unless a later attempt may have run.
  Duration m_retryAfter{};
  bool m_queryPending = false;
  Timer m_timer;
  Timer m_deadlineTimer;
};

/** \brief Forwards the events of one attempt while it is the current one. */
class IngressAttempt : public CallListener
{
public:
  explicit IngressAttempt(std::shared_ptr<IngressSession> aSession)
    : m_session(std::move(aSession))
  {
  }

  /** \brief Stops forwarding events. */
  void Close() { m_session.reset(); }

  void OnHead(const ResponseHead& aHead, const FenceToken& aToken) override;
  void OnBody(std::string_view aData) override;
  void OnEnd() override;
  void OnDrained() override;
  void OnCredit(int64_t aBytes) override;
  void OnRefused(const CallRefusal& aRefusal) override;
  void OnLost(CallLoss aLoss) override;

private:
  std::shared_ptr<IngressSession> m_session;
};

}

#endif
