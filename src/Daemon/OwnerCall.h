#ifndef PISTACHIOSHIFT_DAEMON_OWNERCALL_H
#define PISTACHIOSHIFT_DAEMON_OWNERCALL_H

#include <memory>
#include <string>

#include "Pistachioshift/Http"
#include "src/Daemon/BackendTask.h"
#include "src/Daemon/Call.h"
#include "src/Daemon/Fields.h"
#include "src/Daemon/Timer.h"

namespace pistachioshift {

/** \brief One request at the daemon of its key's holder. */
class OwnerCall
  : public Call
  , public ClientListener
  , public std::enable_shared_from_this<OwnerCall>
{
public:
  OwnerCall(event_base* aBase,
            BackendTask& aTask,
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

  enum class State
  {
    kNew,
    kHeld,    ///< Waits until this daemon holds the entry.
    kQueued,  ///< Waits at the gate.
    kRunning, ///< Given to the backend server.
    kEnded,
  };

  const CallRequest& Request() const { return m_request; }
  void ArmDeadline();
  void ArmHold(Duration aLongest);
  void OnDeadline();
  void OnHoldExpired();
  /** Writes the request to the backend server under R1's check. */
  void Start(HttpClientPool& aPool);
  RequestHead ServerHead() const;
  void Refuse(RefusalReason aReason, Duration aRetryAfter);
  void Refuse(const CallRefusal& aRefusal);
  void AnswerAgain(const KeptAnswer& aAnswer);
  void EndWith(ServiceResult aResult);
  bool IsNotRunAnswer(const ResponseHead& aHead) const;
  void KeepAnswerBytes(std::string_view aData);
  std::optional<KeptAnswer> Kept() const;

  BackendTask& m_task;
  CallRequest m_request;
  std::shared_ptr<CallListener> m_listener;
  State m_state = State::kNew;
  std::optional<EntryKey> m_entry; ///< None for any-instance services.
  std::optional<FenceToken> m_token;
  ClassIndex m_class;
  bool m_remembered = false; ///< In the outcome table.
  bool m_entered = false;    ///< Counted in the entry's running requests.
  bool m_paused = false;
  bool m_finished = false; ///< The request body is complete.
  bool m_full = false;     ///< SendBody answered false.
  bool m_headSeen = false;
  bool m_answerSeen = false;
  std::string m_waitingBody;
  std::shared_ptr<ClientExchange> m_exchange;
  ResponseHead m_answerHead;
  std::string m_answerBody;
  bool m_answerTooLarge = false;
  Timer m_deadlineTimer;
  Timer m_holdTimer;
};

}

#endif
