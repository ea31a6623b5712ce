#ifndef PISTACHIOSHIFT_HOSTDAEMON_RANGESERVERTASK_H
#define PISTACHIOSHIFT_HOSTDAEMON_RANGESERVERTASK_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
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
#include "src/HostDaemon/StateTask.h"

namespace pistachioshift {

/** \brief The backend server beside this daemon. */
struct RangeServerSettings
{
  Endpoint endpoint;
  ServiceName service;
  /// Time after the acknowledgement of a leave in which requests still start.
  Duration drainTime = std::chrono::milliseconds(1600);
};

/**
 * \brief The holder's side of a request where keys are ordered ranges: holds,
 * gate, outcome table and connections of the backend server.
 *
 * \sa OwnerCall, HoldKeeper
 */
class RangeServerTask
  : public CallServer
  , public CallHost
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
  OutcomeQueryResult Ask(const RequestId& aId, TablePosition aKnown) override;
  TablePosition Position() const override { return m_outcomes.Position(); }

  /** \brief Takes in a heartbeat of the backend server. */
  HeartbeatReply OnHeartbeat(const ServerHeartbeat& aHeartbeat);

  /** \brief The backend server says that it leaves. */
  void OnLeave(const ServerId& aServer);

  /** \brief Gives ranges to other hosts, as the coordinator asks. */
  void Move(const std::vector<MoveOrder>& aOrders);

  /**
   * \brief Tells of the host's link.
   * \param aBytesPerSecond rate of large answers; 0: no limit.
   * \param aBacklog time that a large answer would wait now.
   */
  void SetLink(double aBytesPerSecond, std::function<Duration()> aBacklog)
  {
    m_link = LinkAdmission(kDirectBytes, aBytesPerSecond);
    m_backlog = std::move(aBacklog);
  }

  /** \brief Which services are divided by key. */
  void SetSharded(bool aSharded) { m_sharded = aSharded; }

  /**
   * \brief This daemon stops soon: it takes no more keys, and requests that any
   * server can answer go elsewhere. Serves on until BeginDrain.
   */
  void BeginLeave();

  /** \brief No new work from now on; queued requests are refused. */
  void BeginDrain();

  /** \brief Load of the keys held here, for the coordinator. */
  HostReport MakeReport();

  size_t InFlight() const { return m_calls.size(); }
  size_t Running() const { return m_gate ? m_gate->RunningCount() : 0; }
  bool HasFreeSlot() const
  {
    return m_gate && m_gate->RunningCount() < m_gate->Limit();
  }
  size_t Queued() const { return m_gate ? m_gate->QueuedCount() : 0; }

  void OnState() override;

  // CallHost
  bool MayStart(const OwnerCall& aCall) const override;
  RequestHead ServerHead(const OwnerCall& aCall) const override;
  AnswerKind Classify(const OwnerCall& aCall,
                      const ResponseHead& aHead) const override;
  std::optional<DaemonId> HolderHint(const OwnerCall& aCall) const override;
  void OnEnded(OwnerCall& aCall, ServiceResult aResult) override;
  void OnRefusing(const OwnerCall& aCall, const CallRefusal& aRefusal) override;

private:
  using CallPtr = std::shared_ptr<OwnerCall>;

  void EnterAll();
  void Enter(const CallPtr& aCall);
  void Hold(const CallPtr& aCall);
  void Admit(const CallPtr& aCall);
  void Apply(const AdmissionActions& aActions);
  void ArmGate();
  void RetryHeld();
  void MakeGate(uint32_t aSlots);
  void LearnService(Duration aTaken);
  Duration LinkWait(const OwnerCall& aCall) const;
  Duration LongestStay(const OwnerCall& aCall) const;
  bool Leaves(MonoTime aNow) const;
  std::vector<RangeRow> RowsOf(const ServerLife& aLife) const;
  bool IsMine(ShardKey aKey) const;
  void Publish(const ServerHeartbeat& aHeartbeat);
  void WriteRelinquished(const ServerLife& aLife,
                         std::vector<Relinquished> aRanges);
  void OnTick();

  event_base* m_base;
  RangeServerSettings m_settings;
  StateTaskBase& m_state;
  const ServerDialect& m_dialect;
  const Logger& m_logger;
  HoldKeeper m_keeper;
  std::unique_ptr<AdmissionController>
    m_gate; ///< None before the first heartbeat.
  HttpClientPool m_pool;
  KeyLoadMeter m_load;
  std::unordered_map<RequestId, CallPtr> m_calls;
  std::vector<RequestId> m_held;
  std::vector<CallPtr> m_new;
  std::optional<ServerId> m_server;
  std::optional<MonoTime> m_leavesAt; ///< No request starts after it.
  MonoTime m_lastHeartbeat;
  LinkAdmission m_link{ kDirectBytes };
  std::function<Duration()> m_backlog;
  double m_serviceSeconds = 0.2; ///< Mean; at first what is usual.
  bool m_sharded = false;
  bool m_leaving = false;
  bool m_draining = false;
  Timer m_entering;
  Timer m_gateTimer;
  Timer m_tick;
};

}

#endif
