#ifndef PISTACHIOSHIFT_HOSTDAEMON_RANGESERVERTASK_H
#define PISTACHIOSHIFT_HOSTDAEMON_RANGESERVERTASK_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "Pistachioshift/Http"
#include "Pistachioshift/Inner"
#include "Pistachioshift/Ranges"
#include "Pistachioshift/Routing"
#include "src/Daemon/BulkQueue.h"
#include "src/Daemon/OwnerCall.h"
#include "src/Daemon/Timer.h"
#include "src/HostDaemon/KeyLoadMeter.h"
#include "src/HostDaemon/ServerDialect.h"
#include "src/HostDaemon/ServerEndMonitor.h"
#include "src/HostDaemon/ServiceTimeMean.h"
#include "src/HostDaemon/StateTask.h"
#include "src/HostDaemon/ZoneEvacuation.h"

namespace pistachioshift {

struct IngressRecord;

/** \brief Settings for the backend server on this daemon's host. */
struct RangeServerSettings
{
  Endpoint endpoint;
  ServiceName service;
  /// Requests are still started for this time after the backend server's
  /// announcement of its stop was acknowledged.
  Duration drainTime = std::chrono::milliseconds(1600);
  Duration maxHeartbeatDelay = PresenceSettings{}.maxHeartbeatDelay;
  /// No request may reach the backend server later than this after the operator
  /// has ordered an evacuation of its zone. If set, none is started before the
  /// evacuated zones are known.
  std::optional<Duration> evacuateLimit;
};

/**
 * \brief Runs requests on the backend server of this host, for services whose
 * keys are divided into ordered ranges.
 *
 * Owns the ranges granted to the backend server, the gate that limits its
 * concurrent requests, the outcome table and the connection pool.
 *
 * \sa OwnerCall, GrantManager
 */
class RangeServerTask
  : public CallServer
  , public CallDelegate
  , public StateListener
{
public:
  RangeServerTask(event_base* aBase,
                  const Clock& aClock,
                  const RangeServerSettings& aSettings,
                  StateTaskBase& aState,
                  const ServerDialect& aDialect,
                  const Logger& aLogger,
                  Metrics& aMetrics);
  ~RangeServerTask() override;

  // CallServer
  std::shared_ptr<Call> Start(CallRequest aRequest,
                              std::shared_ptr<CallListener> aListener) override;
  OutcomeQueryResult QueryOutcome(const RequestId& aId,
                                  TablePosition aKnown) override;
  TablePosition Position() const override { return m_outcomes.Position(); }

  /**
   * \brief Handles a heartbeat of the backend server.
   * \return nullopt if it is not from the backend server of this host; it then
   * has no effect and must not be acknowledged.
   */
  std::optional<HeartbeatReply> OnHeartbeat(const ServerHeartbeat& aHeartbeat);

  /** \brief Handles the backend server's announcement that it stops now. */
  void OnLeave(const ServerLeave& aLeave);

  /**
   * \brief Whether the backend server is running a request now.
   * \param aLabel as ServerDialect::RequestLabel returns it.
   */
  bool IsRunning(const std::string& aLabel) const
  {
    return m_runningLabels.contains(aLabel);
  }

  /** \brief Handles the end of a call that the backend server has made through
   * this daemon. */
  void OnNestedEnd(const IngressRecord& aRecord);

  /** \brief Starts handing ranges to other hosts as the coordinator ordered. */
  void ApplyMoveOrders(const std::vector<MoveOrder>& aOrders);

  /**
   * \brief Sets the capacity of the host's network link.
   * \param aBytesPerSecond bandwidth for large answers; 0: no limit.
   * \param aBacklog returns the current queueing delay of a large answer.
   */
  void SetLink(double aBytesPerSecond, std::function<Duration()> aBacklog)
  {
    m_link = LinkAdmission(kDirectBytes, aBytesPerSecond);
    m_backlog = std::move(aBacklog);
  }

  /**
   * \brief Sets the rate at which bodies of uploads are received.
   * \param aBytesPerSecond part of the host's link; 0: no limit.
   */
  void SetUploadRate(double aBytesPerSecond);

  /** \brief Sets the receiver of the ranges that the backend server has
   * released, which writes them to the table. */
  void SetOnReleased(std::function<void(RangeRelease)> aCallback)
  {
    m_onReleased = std::move(aCallback);
  }

  /** \brief Sets whether the service's keys are divided into ranges. */
  void SetSharded(bool aSharded) { m_sharded = aSharded; }

  /** \brief Sets the path at which the backend server says whether it runs and
   * is not about to stop; empty: it does not say so. */
  void SetHealthPath(std::string aPath);

  /** \brief Sets the pace of the backend server while it is cold. */
  void SetColdPace(const ColdPace& aPace);

  /**
   * \brief Announces that this daemon will stop. It is assigned no more keys,
   * and requests that any instance can answer are routed to other hosts.
   * Requests whose deadline is before the exit are served until BeginDrain;
   * others are refused.
   * \param aExitAt when the process exits at the latest.
   */
  void BeginLeave(MonoTime aExitAt);

  /** \brief Refuses new and queued requests from now on. */
  void BeginDrain();

  /** \brief Applies the set of zones that the operator evacuates.
   * \sa ZoneEvacuation */
  void SetEvacuatedZones(const std::set<ZoneName>& aZones,
                         std::optional<MonoTime> aUnchangedAt);

  /** \brief Whether the zone of this host is evacuated. */
  bool Evacuated() const { return m_evacuation.Active(); }

  /** \brief Load by key and capacity of this host, for the coordinator. */
  HostReport MakeReport(size_t aMaxBuckets);

  size_t InFlight() const { return m_calls.size(); }
  size_t Running() const { return m_gate ? m_gate->RunningCount() : 0; }
  bool HasFreeSlot() const
  {
    return m_gate && m_gate->HasFreeSlot(m_clock.Now());
  }
  /** \brief Slots that outer requests leave for nested calls. */
  uint32_t ReservedSlots() const
  {
    return m_gate ? m_gate->ReservedSlots(m_clock.Now()) : 0;
  }
  /** \brief Share of outer requests that is refused because the calls that
   * the backend server makes fail. */
  double CalleeRefusedShare() const
  {
    return m_callees.RefusedShare(m_clock.Now());
  }
  /** \brief Requests per second that the backend server takes, as it stated;
   * nullopt: no limit. */
  std::optional<double> RequestLimit() const
  {
    return m_gate ? m_gate->Rate() : std::nullopt;
  }
  /** \brief Limits while the backend server is cold or has just started. */
  const PaceLimits& Pace() const { return m_paceLimits; }
  /** \brief Requests under which backend servers have ended lately. */
  size_t Suspects() const { return m_suspects.Size(); }
  size_t Queued() const { return m_gate ? m_gate->QueuedCount() : 0; }
  const UploadAdmission& Uploads() const { return m_uploads; }

  void OnStateChanged() override;

  // CallDelegate
  bool MayStart(const OwnerCall& aCall) const override;
  RequestHead ServerHead(const OwnerCall& aCall) const override;
  AnswerKind Classify(const OwnerCall& aCall,
                      const ResponseHead& aHead) const override;
  void OnAnswerHead(const OwnerCall& aCall, const ResponseHead& aHead) override;
  std::optional<DaemonId> HolderHint(const OwnerCall& aCall) const override;
  void OnEnded(OwnerCall& aCall, ServiceResult aResult) override;
  void OnWithdrawnAfterStart(const OwnerCall& aCall,
                             RefusalReason aReason) override;
  void OnRefusing(const OwnerCall& aCall, const CallRefusal& aRefusal) override;
  void OnServerFailed(const OwnerCall& aCall, ClientFailure aFailure) override;
  void OnRequestBytes(size_t aBytes) override;
  void OnUploadBytes(OwnerCall& aCall, size_t aBytes) override;
  void OnUploadReceived(OwnerCall& aCall) override;

private:
  using CallPtr = std::shared_ptr<OwnerCall>;
  class HealthCheck;
  class ColdCheck;

  void AcceptNewCalls();
  void Accept(const CallPtr& aCall);
  void HoldCall(const CallPtr& aCall, RefusalReason aRefusal);
  bool AwaitsGrant(const OwnerCall& aCall) const;
  bool AwaitsSuspect(const OwnerCall& aCall) const;
  bool IsExcluded(const OwnerCall& aCall) const;
  void ReserveSuspect(const OwnerCall& aCall);
  void RefuseFatal(const CallPtr& aCall);
  RefusalReason StartRefusal(const OwnerCall& aCall) const;
  void OnServerEndProven();
  void ReadCrashEvidence();
  void OnSuspectAnswered(RequestFingerprint aRequest,
                         const std::vector<ServerEndId>& aEnds);
  void WriteCrashEvidence();
  void Admit(const CallPtr& aCall);
  bool RefuseForCallees(const CallPtr& aCall);
  void NoteRunning(const OwnerCall& aCall);
  void NoteRunEnded(const OwnerCall& aCall);
  static bool AwaitsBody(const OwnerCall& aCall);
  void AdmitUpload(const CallPtr& aCall);
  void GrantUnplanned(const OwnerCall& aCall);
  ServerBacklog BacklogOf(const OwnerCall& aCall) const;
  void AdvanceUploads();
  void ArmUploadTimer();
  void RefuseUploads(RefusalReason aReason);
  void LogUploadRefusals(bool aRefused);
  void ApplyGateActions(const AdmissionActions& aActions);
  void ArmGateTimer();
  void RetryHeldCalls();
  void EnsureGate(uint32_t aSlots);
  void ApplyStatedLimit(const OwnerCall& aCall, const ServerNotice& aNotice);
  void LimitRate(std::optional<double> aPerSecond);
  void EndRateProbe();
  Duration LinkWait(const OwnerCall& aCall) const;
  Duration MaxTimeInSystem(const OwnerCall& aCall) const;
  bool RefusesNewCalls(MonoTime aNow) const;
  bool OutlastsProcess(const OwnerCall& aCall) const;
  std::vector<RangeRow> RowsOf(const ServerIncarnation& aIncarnation) const;
  bool AssignedHere(ShardKey aKey) const;
  bool IsOwnServer(const ServerHeartbeat& aHeartbeat) const;
  void CheckHealth();
  void CancelHealthCheck();
  void OnHealthTimer();
  void OnHealthChecked(const ResponseHead& aAnswer);
  void NotePaceHeartbeat(const ServerHeartbeat& aHeartbeat);
  void NoteServerFailure(const OwnerCall& aCall, ClientFailure aFailure);
  void NotePaceEnd(const OwnerCall& aCall, ServiceResult aResult);
  void UpdatePace();
  void LogPace(PaceReason aReason);
  void OnColdCheckTimer();
  void OnColdChecked(const ResponseHead& aAnswer, MonoTime aAskedAt);
  void PublishServerState(const ServerHeartbeat& aHeartbeat);
  static ServerLeave LeaveOf(const ServerIncarnation& aIncarnation);
  LeaveEffect RememberLeave(const ServerLeave& aLeave);
  void ApplyServerLeave();
  void ProveServerAgain();
  bool MayServe(ShardKey aKey, MonoTime aNow) const;
  void SendReleased(const ServerIncarnation& aIncarnation,
                    std::vector<Relinquished> aRanges);
  void RepeatReleases();
  void OnTick();
  void PublishEvacuation();
  /** The backend server counts as cold until a later heartbeat says otherwise.
   */
  void OnEvacuationEnded();
  void EndEvacuationStarts(MonoTime aNow);

  event_base* m_base;
  RangeServerSettings m_settings;
  StateTaskBase& m_state;
  const ServerDialect& m_dialect;
  const Logger& m_logger;
  GrantManager m_grants;
  ServerPresence m_presence;
  std::unique_ptr<AdmissionController>
    m_gate; ///< Empty before the first heartbeat.
  /// Of running requests; a label can be in use twice while one is repeated.
  std::unordered_multiset<std::string> m_runningLabels;
  CalleeThrottle m_callees;
  std::optional<MonoTime> m_calleesThrottledAt; ///< Last refusal because of it.
  ZoneEvacuation m_evacuation;
  bool m_startsEvacuated = false; ///< Requests still start in this evacuation.
  HttpClientPool m_pool;
  KeyLoadMeter m_loadMeter;
  std::unordered_map<RequestId, CallPtr> m_calls;
  std::vector<RequestId> m_heldCalls;
  std::vector<CallPtr> m_newCalls;
  CrashSuspects m_suspects;
  ServerEndMonitor m_endMonitor;
  /// Suspects answered here since, at ends of any host, that are not yet in
  /// this host's record.
  std::vector<AnsweredRequest> m_answered;
  Timer m_evidenceTimer;
  std::optional<RequestId> m_runningSuspect; ///< At most one at a time.
  bool m_retriesHeld = false;                ///< The next suspect may run.
  uint64_t m_hostsVersion = 0; ///< Whose ends of servers have been read.
  /// Of the store, after which all releases have been repeated.
  uint64_t m_returns = 0;
  MonoTime m_releasesRepeatedAt{ -std::chrono::hours(1) };
  std::optional<ServerId> m_serverId;
  std::string m_healthPath;
  uint32_t m_healthChecks = 0; ///< Since the last heartbeat.
  std::shared_ptr<ClientExchange> m_healthExchange; ///< Of the check that runs.
  MonoTime m_healthAskedAt;
  Timer m_healthTimer;
  ServerPace m_pace;
  PaceLimits m_paceLimits; ///< Those that the gate applies.
  PaceReason m_paceReason = PaceReason::kNone;
  MonoTime m_pacedSince; ///< When m_paceReason changed.
  std::shared_ptr<ClientExchange> m_coldExchange; ///< Of the check that runs.
  Timer m_coldCheckTimer;
  MonoTime m_serverSince; ///< When this process learnt of its backend server.
  std::optional<MonoTime> m_exitAt; ///< Set once the daemon is leaving.
  /// When an answer last stated a limit of the request rate.
  std::optional<MonoTime> m_limitStatedAt;
  bool m_malformedLimitLogged = false;
  uint32_t m_slots = 0;
  /// No answer has shown yet whether the backend server states a limit.
  bool m_probesRate = false;
  MonoTime m_lastHeartbeat;
  LinkAdmission m_link{ kDirectBytes };
  std::function<Duration()> m_backlog;
  std::function<void(RangeRelease)> m_onReleased;
  UploadAdmission m_uploads;
  std::optional<MonoTime> m_uploadRefusedAt; ///< While uploads are refused.
  ServiceTimeMean m_serviceTime;
  bool m_sharded = false;
  bool m_draining = false;
  bool m_silent = false; ///< The silence of the server has been published.
  Timer m_acceptTimer;
  Timer m_gateTimer;
  Timer m_uploadTimer;
  Timer m_rateProbeTimer; ///< From the first request of the probe on.
  Timer m_tick;
};

}

#endif
