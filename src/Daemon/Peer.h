#ifndef PISTACHIOSHIFT_DAEMON_PEER_H
#define PISTACHIOSHIFT_DAEMON_PEER_H

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include "Pistachioshift/Inner"
#include "src/Daemon/FlowWindow.h"
#include "src/Daemon/PeersTask.h"

namespace pistachioshift {

class RemoteCall;

/** \brief What is known of the process that was sent a request. */
struct SentRequest
{
  BootId boot;       ///< Stated by that process.
  MonoTime openedAt; ///< When the attempt began, before anything was sent.
};

/** \brief What an outcome reply is based on. */
struct OutcomeEvidence
{
  RequestState stated = RequestState::kForgotten; ///< By the peer.
  RequestState taken = RequestState::kForgotten;  ///< What is made of it.
  bool sameBoot = false; ///< The boot id is that of the process that was asked
                         ///< to run the request.
  std::optional<Duration> uptime; ///< Of the process that replied, at least.
  std::optional<Duration> age;    ///< Time since the attempt began.

  /**
   * \brief Whether the process that replied was sent the request. The boot id
   * alone doesn't show it: a random source may repeat after a restart. A
   * process that started after the attempt has run for less time.
   */
  bool IsSameProcess() const
  {
    return sameBoot && uptime && age && *uptime >= *age;
  }
};

/**
 * \brief A single connection to another daemon and the streams on it. A
 * reconnect makes a new PeerLink.
 *
 * Responses are matched by connection and stream, so a late response on an
 * abandoned connection is dropped.
 */
class PeerLink
  : public ConnectionListener
  , public std::enable_shared_from_this<PeerLink>
{
public:
  explicit PeerLink(Peer& aPeer)
    : m_peer(aPeer)
  {
  }

  void Connect(event_base* aBase,
               const Clock& aClock,
               const Endpoint& aEndpoint,
               const Hello& aHello);

  StreamId Add(const std::shared_ptr<RemoteCall>& aCall);
  void Remove(StreamId aStream);
  void Send(const Frame& aFrame) { m_connection->Send(aFrame); }

  /**
   * \param aSent identifies the process that was sent the request. Another
   * one can't tell that it never ran.
   */
  void AddQuery(QueryId aQuery,
                const RequestId& aRequest,
                std::optional<SentRequest> aSent,
                PeersTask::OutcomeCallback aCallback);
  void AddRecordsQuery(PeersTask::RecordsCallback aCallback);

  void AddStateQuery(PeersTask::StateCallback aCallback);
  void SetOrdersCallback(PeersTask::OrdersCallback aCallback)
  {
    m_onOrders = std::move(aCallback);
  }

  bool Usable() const
  {
    return m_connection && !m_connection->Ended() && !m_peerLeft;
  }
  bool IsIdle() const;
  size_t Calls() const { return m_calls.size(); }
  const Connection& Transport() const { return *m_connection; }
  void Close() { m_connection->Close(); }

  void OnFrame(Connection& aConnection, Frame aFrame) override;
  void OnDrained(Connection& aConnection) override;
  void OnError(Connection& aConnection, std::string_view aProblem) override;
  void OnClosed(Connection& aConnection, CloseReason aEnd) override;

private:
  struct PendingQuery
  {
    RequestId request;
    std::optional<SentRequest> sent;
    PeersTask::OutcomeCallback callback;
  };

  void UpdateBusy();
  void OnGoodbye();
  void OnOutcome(const OutcomeReply& aReply);

  Peer& m_peer;
  std::shared_ptr<Connection> m_connection;
  std::map<StreamId, std::shared_ptr<RemoteCall>> m_calls;
  std::map<QueryId, PendingQuery> m_queries;
  std::vector<PeersTask::RecordsCallback> m_recordsQueries;
  PeersTask::StateCallback m_onState;
  PeersTask::OrdersCallback m_onOrders;
  int64_t m_lastStream = 0;
  std::optional<BootId> m_boot; ///< Of the process at the other end.
  /// Latest time at which the process at the other end can have started.
  std::optional<MonoTime> m_latestStart;
  bool m_peerLeft = false; ///< The peer runs no more requests.
};

/** \brief Another daemon, identified by its endpoint. */
class Peer
{
public:
  Peer(PeersTask& aTask, Endpoint aEndpoint);

  /** \brief The shared link; connects a new one if it has ended. */
  PeerLink& Link();

  /** \brief Connects a separate link for a single query. */
  std::shared_ptr<PeerLink> NewQueryLink();

  TablePosition KnownPosition() const { return m_knownPosition; }
  bool HasRecentFailure() const;

  /**
   * \brief Whether requests fail without a connection attempt: the last
   * attempt has failed, and a new one is not due yet or still in progress.
   */
  bool IsUnreachable() const;
  bool Connected() const { return m_link && m_link->Usable(); }

  const ConnectionSettings& Settings() const;

  const Clock& GetClock() const;

  void OnHello(const Hello& aHello);
  void OnPosition(TablePosition aPosition);
  void OnLinkEnded(const PeerLink& aLink, CloseReason aEnd);
  void OnError(std::string_view aProblem);
  void OnGoodbye(size_t aCalls);
  void OnOutcome(const RequestId& aRequest, const OutcomeEvidence& aEvidence);

  /** \brief Keeps the process that was sent a request whose link ended. */
  void AddLostRequest(const RequestId& aRequest, const SentRequest& aSent);

  /** \brief Process that was sent a lost request, if it is known. */
  std::optional<SentRequest> FindLostRequest(const RequestId& aRequest) const;

private:
  Hello MakeHello() const;

  PeersTask& m_task;
  Endpoint m_endpoint;
  std::shared_ptr<PeerLink> m_link;
  std::vector<std::shared_ptr<PeerLink>> m_queryLinks;
  std::unordered_map<RequestId, SentRequest> m_lost;
  std::deque<RequestId> m_lostRequests; ///< Keys of m_lost, oldest first.
  TablePosition m_knownPosition;
  MonoTime m_failedAt;
  bool m_connectFailed = false; ///< No connection succeeded since.
};

/** \brief Requester's side of one request on a link. */
class RemoteCall
  : public Call
  , public std::enable_shared_from_this<RemoteCall>
{
public:
  RemoteCall(std::weak_ptr<PeerLink> aLink,
             std::shared_ptr<CallListener> aListener);

  void Open(const CallRequest& aRequest, MonoTime aNow);
  const RequestId& Request() const { return m_request; }
  MonoTime OpenedAt() const { return m_openedAt; }

  /** \brief Whether the whole answer has arrived. A paused call then delivers
   * the rest when it is resumed, whatever becomes of the link. */
  bool AnswerComplete() const { return m_bodyComplete; }

  bool SendBody(std::string_view aData) override;
  void Finish() override;
  void PauseBody() override;
  void ResumeBody() override;
  void Cancel() override;

  void OnFrame(const ResponseOpen& aOpen);
  void OnFrame(const BodyChunk& aPiece);
  void OnFrame(const Credit& aCredit);
  void OnFrame(const Refused& aRefused);
  void OnGoodbye();
  void OnLinkEnded(CloseReason aEnd);

private:
  std::shared_ptr<CallListener> End();
  void Grant(int64_t aBytes);
  void Flush();

  std::weak_ptr<PeerLink> m_link;
  std::shared_ptr<CallListener> m_listener;
  StreamId m_stream;
  RequestId m_request;
  MonoTime m_openedAt;
  SendWindow m_send;
  ReceiveWindow m_receive;
  std::string m_pausedBody; ///< Body that arrived while paused.
  bool m_paused = false;
  bool m_bodyComplete = false;
  bool m_headSeen = false;
  bool m_finished = false;
  bool m_awaitsCredit = false; ///< No body byte may be sent yet.
};

}

#endif
