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

/** \brief Is told when this daemon starts or stops holding entries. */
class MeshListener
{
public:
  virtual ~MeshListener() = default;
  /** \brief This daemon now holds the entry. */
  virtual void OnEntryStarted(const EntryStarted& aStarted) = 0;
  /** \brief Start no more requests of the entry; see MeshTask::OnEntryIdle. */
  virtual void OnEntryStopping(const EntryStopping& aStopping) = 0;
  /** \brief This incarnation has ended: end all requests started under it. */
  virtual void OnIncarnationEnded() = 0;
  /** \brief Whether no request that was started under an entry still runs. */
  virtual bool EntriesIdle() const = 0;
};

/** \brief A daemon to which a request may be sent, and its address. */
struct Candidate
{
  DaemonId daemon;
  Endpoint inner;
};

/**
 * \brief This daemon's membership in the mesh, the group of all daemons.
 *
 * Owns the ownership stream, the control socket and the Node, and executes the
 * effects that the Node returns. Joins the mesh once the stream has been read
 * and the backend server is ready, and again when an incarnation has ended.
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

  /** \brief Starts to read the ownership stream. */
  void Start(MeshListener& aListener);

  /** \brief Lets the daemon join: the backend server is ready. */
  void SetServerReady();

  /** \brief 0 until the join record has been read back from the stream. */
  DaemonId Self() const;

  const OwnershipView& View() const;

  /** \brief Token for starting a request now (rule R1); see Node::MayServe. */
  std::optional<FenceToken> MayServe(const EntryKey& aKey) const;

  /**
   * \brief Position of this daemon among the owner (0) and the successors of
   * the key's newest entry, if it is one of them.
   */
  std::optional<Rank> RankOf(const EntryKey& aKey) const;

  /** \brief Daemons that may hold the entry, the most likely first. */
  std::vector<Candidate> Route(const EntryKey& aKey) const;

  /** \brief Daemons that offer the service and are not leaving. */
  std::vector<Candidate> Instances(const ServiceName& aService) const;

  /** \brief No request of an entry that is stopping runs any more. */
  void OnEntryIdle(const EntryKey& aKey);
  /** \brief Offset up to which the document stream has been applied. */
  void SetDocumentApplied(Offset aOffset);
  /** \brief Waits for services whose fences are not checked; see Node. */
  void SetFenceWaits(std::map<ServiceName, Duration> aWaits);

  /** \brief Begins a planned leave; it can't be undone. */
  void BeginLeave();
  /** \brief Whether the planned leave has ended or the daemon never joined. */
  bool Left() const;

  /** \brief Appends a record of the planner to the ownership stream. */
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
  void Execute();
  void Execute(const SendMessage& aEffect);
  void Execute(const AppendRecord& aEffect);
  void Execute(const EntryStarted& aEffect);
  void Execute(const EntryStopping& aEffect);
  void Execute(const RejoinNeeded& aEffect);
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
  OwnershipView m_view; ///< While m_node is empty; else the node has it.
  std::optional<Node> m_node;
  std::map<ServiceName, Duration> m_fenceWaits;
  Offset m_documentApplied;
  std::optional<DaemonId> m_previousIncarnation;
  std::optional<RecordId> m_joinId;
  bool m_serverReady = false;
  bool m_caughtUp = false;
  bool m_leaving = false;
  bool m_rejoinNeeded = false;
  std::unique_ptr<LogTask> m_log;
};

}

#endif
