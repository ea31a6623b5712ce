#ifndef PISTACHIOSHIFT_HTTP_INTERNAL_STREAM_H
#define PISTACHIOSHIFT_HTTP_INTERNAL_STREAM_H

#include <cstddef>
#include <string_view>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Http/internal/EventHandles.h"

namespace pistachioshift::internal {

enum class StreamEnd
{
  kEof,
  kReset,
  kWriteFailed, ///< Input may still arrive; its end is told by a later call.
  kWriteStalled,
};

/** Receives what happens to a stream; may destroy it from within a call. */
class StreamHandler
{
public:
  virtual ~StreamHandler() = default;
  virtual void OnConnected() {}
  virtual void OnReadable() = 0;
  virtual void OnWritable() = 0;
  virtual void OnStreamEnd(StreamEnd aEnd) = 0;
  virtual void OnTimer() = 0;
};

struct StreamBounds
{
  size_t inputHighWatermark = 0;
  size_t outputLowWatermark = 0;
};

/** A TCP connection with its buffers and one timer. */
class Stream
{
public:
  /** \param aSocket -1 for a stream that is going to connect. */
  Stream(event_base* aBase,
         evutil_socket_t aSocket,
         const StreamBounds& aBounds,
         StreamHandler& aHandler);

  /** Finds out that the peer is gone while nothing is read or written. */
  void SetProbes(std::chrono::seconds aInterval);

  /** False if it failed at once. Throws HttpError for a bad address. */
  bool Connect(const Endpoint& aEndpoint);
  void SetWriteTimeout(Duration aTimeout);

  /** First contiguous part of the input, empty if none. */
  std::string_view Front() const;
  void Drain(size_t aBytes);
  size_t InputBytes() const;

  /**
   * Stops reading while the input stays at its high watermark. To be called
   * when no more input is taken for now: libevent would call OnReadable over
   * and over. A close of the peer goes unnoticed until input was drained.
   */
  void HoldWhenFull();

  /** Whether the socket or the input holds bytes. */
  bool HasUnreadBytes() const;

  /** Whether the peer neither sent anything nor closed. */
  bool IsQuiet() const;

  /** Whether the peer has closed or reset the connection, and all that it sent
   * before has been received. */
  bool PeerHasClosed() const;

  evbuffer* Output() const;
  size_t OutputBytes() const;

  /** From now on OnWritable is called only when the output is empty. */
  void NotifyWhenEmpty();
  void ShutdownWrite();

  /** Whether a close, also one by the end of the process, resets the connection
   * instead of ending it in an orderly way. */
  void SetResetOnClose(bool aReset);

  /** Calls OnWritable from the loop if the output is low enough. */
  void ScheduleWritable();

  /** Calls OnReadable from the loop, not from within this call. */
  void ScheduleRead();

  void StartTimer(Duration aTimeout);
  void StopTimer();

  evutil_socket_t Socket() const;

private:
  static void HandleRead(bufferevent* aStream, void* aSelf);
  static void HandleWrite(bufferevent* aStream, void* aSelf);
  static void HandleEvent(bufferevent* aStream, short aWhat, void* aSelf);

  StreamBounds m_bounds;
  StreamHandler& m_handler;
  bool m_held = false;
  bool m_resetsOnClose = false;
  bool m_reset = false; ///< A write has taken the error of a reset.
  BufferEventPtr m_stream;
  EventPtr m_timer;
  EventPtr m_readAgain;
};

/** Lets a write to a closed socket fail with EPIPE instead of a signal. */
void IgnoreBrokenPipe();

}

#endif
