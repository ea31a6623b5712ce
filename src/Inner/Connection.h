#ifndef PISTACHIOSHIFT_INNER_CONNECTION_H
#define PISTACHIOSHIFT_INNER_CONNECTION_H

#include <cstdint>
#include <memory>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Inner/FrameCompression.h"
#include "src/Inner/Frames.h"

struct bufferevent;
struct event;
struct event_base;

namespace pistachioshift {

/** \brief Timeouts of a connection between daemons. */
struct ConnectionSettings
{
  /** \brief Maximum time to establish the connection. */
  Duration connectTimeout = std::chrono::milliseconds(300);
  /** \brief Interval between pings while heartbeats are enabled. */
  Duration heartbeatInterval = std::chrono::milliseconds(200);
  /** \brief Heartbeat intervals without received data, in a row, after which
   * the connection ends. */
  int missedHeartbeatLimit = 2;
  /** \brief Whether the first ping is sent as soon as heartbeats are enabled;
   * if not, one interval later, so that short requests need none. */
  bool pingsAtOnce = true;
  /** \brief Totals to which connections add that compress; may be null. */
  std::shared_ptr<FrameByteTotals> byteTotals;
};

/** \brief Reason for which a connection ended. */
enum class CloseReason
{
  kConnectFailed,    ///< Never established: no queued frame was sent.
  kClosed,           ///< Closed by the peer, or a socket error.
  kHeartbeatTimeout, ///< The peer sent nothing for several heartbeat intervals.
  kMalformed,        ///< A received frame can't be decoded or is too long.
  kLocal,            ///< Close() was called.
  kInternalError,    ///< Handling a received frame failed in this process.
};

const char* ToString(CloseReason aReason);

class Connection;

/** \brief Receives the events of a connection, on the event loop's thread. */
class ConnectionListener
{
public:
  virtual ~ConnectionListener() = default;
  virtual void OnFrame(Connection& aConnection, Frame aFrame) = 0;
  /** \brief The output buffer has drained to its low watermark. */
  virtual void OnDrained(Connection& aConnection) = 0;
  /** \brief An exception from OnFrame or OnDrained; the connection ends with
   * kInternalError. */
  virtual void OnError(Connection&, std::string_view) {}
  /** \brief The connection ended; no further calls follow. */
  virtual void OnClosed(Connection& aConnection, CloseReason aReason) = 0;
};

/**
 * \brief TCP connection that carries frames between two daemons.
 *
 * Answers the peer's pings. While heartbeats are enabled it also sends pings
 * and ends with kHeartbeatTimeout if the peer sends nothing.
 *
 * If the Hello frames of both ends state the same Hello::compression, frames
 * are compressed; see FrameCompression.
 */
class Connection : public std::enable_shared_from_this<Connection>
{
public:
  static std::shared_ptr<Connection> Connect(
    event_base* aBase,
    const Clock& aClock,
    const Endpoint& aPeer,
    const ConnectionSettings& aSettings,
    std::weak_ptr<ConnectionListener> aListener);

  static std::shared_ptr<Connection> Accept(
    event_base* aBase,
    const Clock& aClock,
    int aSocket,
    const ConnectionSettings& aSettings,
    std::weak_ptr<ConnectionListener> aListener);

  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /** \brief Queues a frame; discards it if the connection has ended. */
  void Send(const Frame& aFrame);

  /** \brief Enables heartbeats; needed while requests wait for the peer. */
  void SetHeartbeatsEnabled(bool aEnabled);

  /** \brief Sets the outcome table position that pongs report. */
  void SetPosition(TablePosition aPosition) { m_position = aPosition; }

  /**
   * \brief Sends the queued frames and no others, then waits for the peer to
   * close; discards the frames that still arrive.
   *
   * A close with unread input would reset the connection, and the peer could
   * lose the last frames.
   */
  void FinishSending();

  /** \brief Ends the connection; the listener gets OnClosed with kLocal. */
  void Close() { End(CloseReason::kLocal); }

  bool Connected() const { return m_connected; }
  bool Ended() const { return m_ended; }
  bool Finishing() const { return m_finishing; }

  /** \brief Bytes queued in this process, not yet written to the socket. */
  size_t BufferedBytes() const;

  /** \brief Time since bytes were last read from the peer. */
  Duration SilentFor() const { return m_clock.Now() - m_lastRead; }

private:
  Connection(event_base* aBase,
             const Clock& aClock,
             const ConnectionSettings& aSettings,
             std::weak_ptr<ConnectionListener> aListener);

  void CreateBufferEvent(int aSocket);
  void StartTimer();
  void OnRead();
  void OnWritable();
  void OnEvent(short aEvents);
  void OnTimer();
  /** Whether bytes left before OnEvent has reported the connection. */
  bool WroteBeforeConnected() const;
  CloseReason ReasonOfFailure() const;
  void SendPing();
  void SendCompressed(const Frame& aFrame, std::string aBytes);
  void ScheduleFlush();
  void FlushFrames();
  size_t ReadFrames();
  size_t ReadBlock(std::string_view aBlock);
  void ReadRemaining();
  void ShutDownIfSent();
  void Dispatch(Frame aFrame);
  template<class Action>
  void Contain(Action aAction);
  void End(CloseReason aReason);

  event_base* m_base;
  const Clock& m_clock;
  ConnectionSettings m_settings;
  std::weak_ptr<ConnectionListener> m_listener;
  bufferevent* m_bufferEvent = nullptr;
  event* m_timer = nullptr;
  event* m_flush = nullptr; ///< Sends the frames that m_compression collects.
  std::unique_ptr<FrameCompression> m_compression; ///< Null if never offered.
  MonoTime m_lastRead;
  MonoTime m_lastHeartbeat;
  TablePosition m_position;
  size_t m_queuedBeforeConnected = 0; ///< Bytes of frames.
  int64_t m_lastPingSequence = 0;
  int m_missedHeartbeats = 0;
  bool m_pinged = false; ///< Since heartbeats were enabled.
  bool m_connected = false;
  bool m_heartbeatsEnabled = false;
  bool m_finishing = false;         ///< FinishSending() was called.
  bool m_compressionFailed = false; ///< The next flush ends the connection.
  bool m_ended = false;
};

}

#endif
