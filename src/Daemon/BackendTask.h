#ifndef PISTACHIOSHIFT_DAEMON_BACKENDTASK_H
#define PISTACHIOSHIFT_DAEMON_BACKENDTASK_H

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Pistachioshift/Http"
#include "Pistachioshift/Routing"
#include "src/Base/Random.h"
#include "src/Daemon/AdmissionTable.h"
#include "src/Daemon/Call.h"
#include "src/Daemon/EntryTable.h"
#include "src/Daemon/LoadMeter.h"
#include "src/Daemon/MeshTask.h"
#include "src/Daemon/Metrics.h"
#include "src/Daemon/OwnerCall.h"
#include "src/Daemon/ServerProbe.h"
#include "src/Daemon/Settings.h"
#include "src/Daemon/Timer.h"

namespace pistachioshift {

/**
 * \brief Serves requests for keys that this daemon holds: admission control,
 * outcome table and connections to the backend server of this host.
 *
 * \sa OwnerCall
 */
class BackendTask
  : public MeshListener
  , public CallServer
  , public CallDelegate
{
public:
  BackendTask(event_base* aBase,
              const Clock& aClock,
              const Settings& aSettings,
              MeshTask& aMesh,
              const Logger& aLogger,
              Metrics& aMetrics);
  ~BackendTask() override;

  std::shared_ptr<Call> Start(CallRequest aRequest,
                              std::shared_ptr<CallListener> aListener) override;
  OutcomeQueryResult QueryOutcome(const RequestId& aId,
                                  TablePosition aKnown) override;
  TablePosition Position() const override { return m_outcomes.Position(); }

  /** \brief Applies the policies of the document's services. */
  void SetPolicies(const ServicePolicies& aPolicies);
  const ServicePolicies& Policies() const { return m_policies; }

  /** \brief The backend server restarted: slow start for each service. */
  void OnServerRestarted();

  /** \brief From now on new requests and retried held ones are refused. */
  void BeginDrain();

  /** \brief Load of the entries held here since the last call; starts a new
   * interval.
   * \param aElapsed time since the last call, more than 0.
   */
  std::vector<LoadReport> EndLoadInterval(Duration aElapsed);

  /** \brief Requests held, queued or running. */
  size_t InFlight() const { return m_calls.size(); }
  size_t Running() const;
  size_t Queued() const;
  bool ServerReady() const { return m_probe.Ready(); }
  ServerProbe& Probe() { return m_probe; }

  void OnEntryStarted(const EntryStarted& aStarted) override;
  void OnEntryStopping(const EntryStopping& aStopping) override;
  void OnIncarnationEnded() override;
  bool EntriesIdle() const override;

  bool MayStart(const OwnerCall& aCall) const override;
  RequestHead ServerHead(const OwnerCall& aCall) const override;
  AnswerKind Classify(const OwnerCall& aCall,
                      const ResponseHead& aHead) const override;
  std::optional<DaemonId> HolderHint(const OwnerCall& aCall) const override;
  void OnWithdrawnAfterStart(const OwnerCall& aCall,
                             RefusalReason aReason) override;
  void OnEnded(OwnerCall& aCall, ServiceResult aResult) override;

private:
  const ServicePolicy* FindPolicy(const ServiceName& aService) const;
  std::shared_ptr<OwnerCall> Find(const RequestId& aId) const;
  void ProcessNewCalls();
  void ProcessCall(const std::shared_ptr<OwnerCall>& aCall);
  void AdmitOrHold(const std::shared_ptr<OwnerCall>& aCall,
                   const ServicePolicy& aPolicy);
  void Hold(const std::shared_ptr<OwnerCall>& aCall);
  void RemoveHeld(const OwnerCall& aCall);
  /** Moves requests for a newly pinned key from its range to the pin's entry.
   */
  void MoveCallsToPin(const EntryKey& aPin);
  void RetryHeld(const EntryKey& aKey);
  void Admit(const std::shared_ptr<OwnerCall>& aCall,
             const ServicePolicy& aPolicy);
  bool BeginOutcome(const std::shared_ptr<OwnerCall>& aCall);
  void Apply(const AdmissionActions& aActions);
  void StartCall(const std::shared_ptr<OwnerCall>& aCall);
  void CountLoad(const OwnerCall& aCall);
  void ReleaseIfIdle(const EntryKey& aKey);
  void RefuseWaiting(const EntryKey& aKey, RefusalReason aReason);

  event_base* m_base;
  const Settings& m_settings;
  MeshTask& m_mesh;
  const Logger& m_logger;
  ServicePolicies m_policies;
  AdmissionTable m_admission;
  EntryTable m_entries;
  std::map<EntryKey, std::unique_ptr<Timer>> m_retryTimers; ///< For held calls.
  std::multimap<EntryKey, RequestId> m_held;
  std::unordered_map<RequestId, std::shared_ptr<OwnerCall>> m_calls;
  LoadMeter m_load;
  HttpClientPool m_pool;
  ServerProbe m_probe;
  Timer m_newCallsTimer;
  std::vector<std::shared_ptr<OwnerCall>> m_newCalls;
  bool m_draining = false;
};

}

#endif
