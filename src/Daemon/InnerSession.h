#ifndef PISTACHIOSHIFT_DAEMON_INNERSESSION_H
#define PISTACHIOSHIFT_DAEMON_INNERSESSION_H

#include <map>
#include <memory>
#include <string>

#include "src/Daemon/BulkSender.h"
#include "src/Daemon/FlowWindow.h"
#include "src/Daemon/InnerServerTask.h"

namespace pistachioshift {

class InnerStream;

/** \brief Server side of a connection from another daemon. */
class InnerSession
  : public ConnectionListener
  , public std::enable_shared_from_this<InnerSession>
{
public:
  explicit InnerSession(InnerServerTask& aTask)
    : m_task(aTask)
  {
  }

  void Start(int aSocket);
  void Send(const Frame& aFrame) { m_connection->Send(aFrame); }
  void Remove(StreamId aStream);
  BulkQueue& Bulk() { return m_task.m_bulk; }
  void FailRunning();
  /** \brief Tells the peer the position of the outcome table, if it has
   * advanced by at least aStep since the peer was told. */
  void TellPosition(uint64_t aStep);
  bool HasUnsent() const { return m_connection->BufferedBytes() > 0; }
  void FinishSending() { m_connection->FinishSending(); }
  bool Finishing() const { return m_connection->Finishing(); }

  void OnFrame(Connection& aConnection, Frame aFrame) override;
  void OnDrained(Connection& aConnection) override;
  void OnError(Connection& aConnection, std::string_view aProblem) override;
  void OnClosed(Connection& aConnection, CloseReason aEnd) override;

private:
  void Open(RequestOpen aOpen);
  void Answer(const OutcomeQuery& aQuery);

  InnerServerTask& m_task;
  std::shared_ptr<Connection> m_connection;
  TablePosition m_told; ///< Last position sent, other than with a heartbeat.
  std::map<StreamId, std::shared_ptr<InnerStream>> m_streams;
};

/** \brief Passes one request to the CallServer and its answer back. */
class InnerStream
  : public CallListener
  , public BulkSink
  , public std::enable_shared_from_this<InnerStream>
{
public:
  InnerStream(std::weak_ptr<InnerSession> aSession, StreamId aStream)
    : m_session(std::move(aSession))
    , m_stream(aStream)
  {
  }

  void SetCall(std::shared_ptr<Call> aCall) { m_call = std::move(aCall); }

  void OnFrame(const BodyChunk& aPiece);
  void OnFrame(const Credit& aCredit);
  void Cancel();
  void Abandon();

  /** \brief Ends a request that runs with an unknown outcome; sends what is
   * left of an answer that is complete here. */
  void FailRunning();

  void OnHead(const ResponseHead& aHead, const FenceToken& aToken) override;
  void OnBody(std::string_view aData) override;
  void OnEnd() override;
  void OnDrained() override;
  void OnCredit(int64_t aBytes) override { Grant(aBytes); }
  void OnRefused(const CallRefusal& aRefusal) override;
  void OnLost(CallLoss aLoss) override;

  // BulkSink
  void SendNow(std::string_view aData) override;
  void FinishNow() override;

private:
  void Send(const Frame& aFrame);
  void Remove();
  void Grant(int64_t aBytes);

  std::weak_ptr<InnerSession> m_session;
  StreamId m_stream;
  std::shared_ptr<Call> m_call;
  SendWindow m_send;
  ReceiveWindow m_receive;
  std::shared_ptr<BulkSender> m_sender; ///< Set once the answer's head is sent.
};

}

#endif
