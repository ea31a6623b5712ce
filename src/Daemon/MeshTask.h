#ifndef PISTACHIOSHIFT_DAEMON_MESHTASK_H
#define PISTACHIOSHIFT_DAEMON_MESHTASK_H

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Pistachioshift/Inner"
#include "Pistachioshift/Log"
#include "Pistachioshift/Ownership"
#include "src/Base/Logger.h"
#include "src/Daemon/Metrics.h"
#include "src/Daemon/Settings.h"
#include "src/Daemon/Timer.h"

namespace pistachioshift {

/** \brief Receives what the mesh decides about this daemon's entries. */
class MeshListener
{
public:
  virtual ~MeshListener() = default;
  virtual void OnEntryStarted(const EntryStarted& aStarted) = 0;
  virtual void OnEntryStopping(const EntryStopping& aStopping) = 0;
  /** \brief This incarnation is over: resolve all that runs under it. */
  virtual void OnIncarnationEnded() = 0;
  /** \brief Whether nothing runs that was started under an entry. */
  virtual bool EntriesIdle() const = 0;
};

/** \brief A daemon to which a request may be sent. */
struct Candidate
{
  DaemonId daemon;
  Endpoint inner;
};

/**
 * \brief This daemon's place in the mesh.
 *
 * Owns the ownership stream, the control socket and the Node; carries out the
 * Node's effects.
 */
class MeshTask
{
public:
  MeshTask(event_base* aBase,
           const Clock& aClock,
           RandomEngine& aRandom,
           LogService& aLog,
           const Settings& aSettings,
           BootId aBoot,
           const Logger& aLogger,
           Metrics& aMetrics);

  /** \brief Starts to follow the stream. */
  void Start(MeshListener& aListener);

  /** \brief The backend server is ready: join as soon as possible. */
  void AnnounceServer();

  /** \brief 0 until the join record was read back. */
  DaemonId Self() const;

  const OwnershipView& View() const;

  /** \brief R1's check; see Node::MayServe. */
  std::optional<FenceToken> MayServe(const EntryKey& aKey) const;

  /** \brief This daemon's rank in the current entry, if any. */
  std::optional<Rank> RankOf(const EntryKey& aKey) const;

  /** \brief Daemons that may hold the entry, the likeliest first. */
  std::vector<Candidate> Route(const EntryKey& aKey) const;

  /** \brief Daemons with a backend server of the service. */
  std::vector<Candidate> Instances(const ServiceName& aService) const;

  void OnEntryIdle(const EntryKey& aKey);
  void SetDocumentApplied(Offset aOffset);
  void SetUncheckedWaits(std::map<ServiceName, Duration> aWaits);

  void BeginLeave();
  bool Left() const;

  /** \brief Appends a record of the planner. */
  void Append(const OwnershipRecord& aRecord);

  LogTask& Log() { return *m_log; }
  const Node* FindNode() const { return m_node ? &*m_node : nullptr; }
  const DatagramCounters& Control() const { return m_datagrams.Counters(); }

private:
  void OnRecord(const LogRecord& aRecord);
  void LoadState(const std::string& aState);
  void OnDatagram(const ControlDatagram& aDatagram);
  void OnTick();
  void TryJoin();
  void OnJoined(DaemonId aSelf);
  void FindOwnJoin();
  void EndIncarnation();
  void CarryOut();
  void CarryOut(const SendMessage& aEffect);
  void CarryOut(const AppendRecord& aEffect);
  void CarryOut(const EntryStarted& aEffect);
  void CarryOut(const EntryStopping& aEffect);
  void CarryOut(const RejoinNeeded& aEffect);
  JoinRecord MakeJoin() const;

  const Clock& m_clock;
  RandomEngine& m_random;
  const Settings& m_settings;
  BootId m_boot;
  std::string m_kernelBoot;
  const Logger& m_logger;
  Metrics& m_metrics;
  NodeSettings m_nodeSettings;
  DatagramSocket m_datagrams;
  Timer m_tick;
  MeshListener* m_listener = nullptr;
  OwnershipView m_view; // Until this daemon has joined.
  std::optional<Node> m_node;
  std::map<ServiceName, Duration> m_uncheckedWaits;
  Offset m_documentApplied;
  std::optional<DaemonId> m_previous;
  std::optional<RecordId> m_joinId;
  bool m_serverReady = false;
  bool m_caughtUp = false;
  bool m_leaving = false;
  bool m_rejoin = false;
  std::unique_ptr<LogTask> m_log;
};

}

#endif
