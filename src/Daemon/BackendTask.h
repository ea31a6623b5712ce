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
#include "src/Daemon/Call.h"
#include "src/Daemon/EntryTable.h"
#include "src/Daemon/GateTable.h"
#include "src/Daemon/LoadMeter.h"
#include "src/Daemon/MeshTask.h"
#include "src/Daemon/Metrics.h"
#include "src/Daemon/OwnerCall.h"
#include "src/Daemon/ServerProbe.h"
#include "src/Daemon/Settings.h"
#include "src/Daemon/Timer.h"

namespace pistachioshift {

/**
 * \brief The holder's side of a request: gate, outcome table and connections
 * of the backend server beside this daemon.
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

  /** \brief The document's services changed. */
  void SetPolicies(const ServicePolicies& aPolicies);
  const ServicePolicies& Policies() const { return m_policies; }

  /** \brief The backend server started anew: begin slowly. */
  void OnServerRestarted();

  /** \brief No new work from now on; held and queued requests are refused. */
  void BeginDrain();

  /** \brief Load of the entries held here since the last call. */
  std::vector<LoadReport> TakeLoad(Duration aElapsed);

  /** \brief Requests that have not ended. */
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
  void OnEnded(OwnerCall& aCall, ServiceResult aResult) override;

private:
  const ServicePolicy* FindPolicy(const ServiceName& aService) const;
  std::shared_ptr<OwnerCall> Find(const RequestId& aId) const;
  void EnterAll();
  void Enter(const std::shared_ptr<OwnerCall>& aCall);
  void EnterEntry(const std::shared_ptr<OwnerCall>& aCall,
                  const ServicePolicy& aPolicy);
  void Hold(const std::shared_ptr<OwnerCall>& aCall);
  void ForgetHeld(const OwnerCall& aCall);
  /** Requests for a key that was pinned run under its own entry from now on. */
  void TakePinned(const EntryKey& aPin);
  void Retry(const EntryKey& aKey);
  void Admit(const std::shared_ptr<OwnerCall>& aCall,
             const ServicePolicy& aPolicy);
  bool Remember(const std::shared_ptr<OwnerCall>& aCall);
  void Apply(const AdmissionActions& aActions);
  void StartCall(const std::shared_ptr<OwnerCall>& aCall);
  void CountLoad(const OwnerCall& aCall);
  void ReportIdle(const EntryKey& aKey);
  void RefuseWaiting(const EntryKey& aKey, RefusalReason aReason);

  event_base* m_base;
  const Settings& m_settings;
  MeshTask& m_mesh;
  const Logger& m_logger;
  ServicePolicies m_policies;
  GateTable m_gates;
  EntryTable m_entries;
  std::map<EntryKey, std::unique_ptr<Timer>> m_releases; ///< Of held ones.
  std::multimap<EntryKey, RequestId> m_held;
  std::unordered_map<RequestId, std::shared_ptr<OwnerCall>> m_calls;
  LoadMeter m_load;
  HttpClientPool m_pool;
  ServerProbe m_probe;
  Timer m_entering;
  std::vector<std::shared_ptr<OwnerCall>> m_new;
  bool m_draining = false;
};

}

#endif
