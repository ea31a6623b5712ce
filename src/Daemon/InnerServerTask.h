#ifndef PISTACHIOSHIFT_DAEMON_INNERSERVERTASK_H
#define PISTACHIOSHIFT_DAEMON_INNERSERVERTASK_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "Pistachioshift/Inner"
#include "src/Daemon/BulkQueue.h"
#include "src/Daemon/Call.h"
#include "src/Daemon/Metrics.h"
#include "src/Daemon/Timer.h"

struct evconnlistener;

namespace pistachioshift {

class InnerSession;

/** \brief Handlers for the frames of a session other than requests. */
struct InnerServices
{
  std::function<RecordsReply(const RecordsQuery&)> records;
  std::function<DaemonId()> self;
  std::function<void(const LoadReport&)> load;
  std::function<HostOrders(const HostReport&)> report;
  std::function<std::optional<StateReply>(const StateQuery&)> state;
  std::function<void(const StateReply&)> update;
  std::function<void(const RangeRelease&)> release;
  std::function<void(const ConfigurationUpdate&)> configuration;
  /// Set if peers may ask for compression; counts the bytes.
  std::shared_ptr<FrameByteTotals> compression;
  /// A frame could not be handled; its connection ends.
  std::function<void(std::string_view)> error;
};

/** \brief Accepts connections of other daemons and serves their requests. */
class InnerServerTask
{
public:
  /**
   * \param aBulk queue shared with the answers to the host's own callers.
   * \throws InnerError if the endpoint can't be bound.
   */
  InnerServerTask(event_base* aBase,
                  const Clock& aClock,
                  const Endpoint& aEndpoint,
                  BootId aBoot,
                  CallServer& aCalls,
                  InnerServices aServices,
                  Metrics& aMetrics,
                  BulkQueue& aBulk);
  ~InnerServerTask();
  InnerServerTask(const InnerServerTask&) = delete;
  InnerServerTask& operator=(const InnerServerTask&) = delete;

  /** \brief The bound endpoint, with the port that was picked for port 0. */
  Endpoint LocalEndpoint() const { return m_endpoint; }

  size_t Sessions() const { return m_sessions.size(); }

  /** \brief Ends all requests that have not been answered; called when the
   * process must exit before they end. */
  void FailRunning();

  /**
   * \brief Tells all peers that requests which they send from now on, or whose
   * answer they don't have yet, will not run. They close their connections; no
   * new ones are accepted.
   */
  void SayGoodbye();

  /** \brief Whether bytes are queued or in the buffer of a connection. */
  bool HasUnsent() const;

  /**
   * \brief Sends what waits in the connections and ends them; called before the
   * process exits.
   */
  void FinishSending();

  /** \brief Connections that FinishSending() has begun to end and whose peers
   * have not closed yet. */
  size_t Finishing() const;

private:
  friend class InnerSession;

  void OnAccepted(int aSocket);
  void AcceptWaiting();
  void StopListening();
  void TellPositions();

  event_base* m_base;
  const Clock& m_clock;
  BootId m_boot;
  MonoTime m_startedAt;
  CallServer& m_calls;
  InnerServices m_services;
  Metrics& m_metrics;
  BulkQueue& m_bulk;
  Endpoint m_endpoint;
  evconnlistener* m_listener = nullptr;
  std::set<std::shared_ptr<InnerSession>> m_sessions;
  Timer m_positionTimer;
  bool m_saidGoodbye = false;
};

}

#endif
