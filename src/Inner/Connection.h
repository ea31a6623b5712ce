#ifndef PISTACHIOSHIFT_INNER_CONNECTION_H
#define PISTACHIOSHIFT_INNER_CONNECTION_H

#include <cstdint>
#include <memory>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Inner/Frames.h"

struct bufferevent;
struct event;
struct event_base;

namespace pistachioshift {

/** \brief Durations of a connection between daemons. */
struct ConnectionSettings
{
  /** \brief Time allowed to connect. */
  Duration connectTimeout = std::chrono::milliseconds(300);
  /** \brief Time between heartbeats while requests are out. */
  Duration heartbeatInterval = std::chrono::milliseconds(200);
  /** \brief Heartbeat intervals without a byte until it is given up. */
  int missedHeartbeatLimit = 2;
};

/** \brief Why a connection ended. */
enum class CloseReason
{
  kConnectFailed,    ///< Never connected: nothing that was sent has left.
  kClosed,           ///< By the peer, or by an error of the socket.
  kHeartbeatTimeout, ///< Heartbeats went unanswered.
  kMalformed,        ///< A frame that can't be decoded or is too long.
  kLocal,            ///< Close() was called.
};

const char* ToString(CloseReason aEnd);

class Connection;

/** \brief Receives frames; called from the event loop. */
class ConnectionListener
{
public:
  virtual ~ConnectionListener() = default;
  virtual void OnFrame(Connection& aConnection, Frame aFrame) = 0;
  /** \brief The output fell to the low watermark again. */
  virtual void OnDrained(Connection& aConnection) = 0;
  /** \brief The last call. */
  virtual void OnClosed(Connection& aConnection, CloseReason aEnd) = 0;
};

/**
 * \brief One TCP connection between two daemons that carries frames.
 *
 * Answers pings by itself; sends them while SetHeartbeatsEnabled(true) and ends
 * with kSilent if nothing comes back.
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

  /** \brief Queues a frame; dropped after the end. */
  void Send(const Frame& aFrame);

  /** \brief Whether heartbeats are needed. */
  void SetHeartbeatsEnabled(bool aBusy);

  /** \brief Position put into pongs. */
  void SetPosition(TablePosition aPosition) { m_position = aPosition; }

  /** \brief Ends the connection; the listener is told kLocal. */
  void Close() { End(CloseReason::kLocal); }

  bool Connected() const { return m_connected; }
  bool Ended() const { return m_ended; }

  /** \brief Bytes that wait in this process. */
  size_t BufferedBytes() const;

private:
  Connection(event_base* aBase,
             const Clock& aClock,
             const ConnectionSettings& aSettings,
             std::weak_ptr<ConnectionListener> aListener);

  void Adopt(int aSocket);
  void StartHeartbeat();
  void OnRead();
  void OnWritten();
  void OnEvent(short aEvents);
  void OnHeartbeat();
  bool TakeFrame();
  void Dispatch(Frame aFrame);
  void End(CloseReason aEnd);

  event_base* m_base;
  const Clock& m_clock;
  ConnectionSettings m_settings;
  std::weak_ptr<ConnectionListener> m_listener;
  bufferevent* m_events = nullptr;
  event* m_heartbeat = nullptr;
  MonoTime m_lastRead;
  MonoTime m_lastTick;
  TablePosition m_position;
  int64_t m_pings = 0;
  int m_missed = 0;
  bool m_connected = false;
  bool m_busy = false;
  bool m_ended = false;
};

}

#endif
