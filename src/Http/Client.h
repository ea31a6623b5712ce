#ifndef PISTACHIOSHIFT_HTTP_CLIENT_H
#define PISTACHIOSHIFT_HTTP_CLIENT_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Http/Message.h"

struct event_base;

namespace pistachioshift {

namespace internal {
class ClientConnection;
class ClientCore;
struct ClientState;
}

/** \brief Bounds of a pool and of each of its connections. */
struct HttpClientLimits
{
  size_t maxConnections = 64;
  size_t maxWaiting = 1024;                  ///< Requests without a connection.
  size_t maxHeadBytes = 64 * internal::kKiB; ///< Of an answer.
  size_t maxHeaders = 128;                   ///< Of an answer.
  size_t maxInterimAnswers = 64;             ///< 1xx, before the final answer.
  uint64_t maxBodyBytes = 16 * internal::kKiB * internal::kKiB *
                          internal::kKiB; ///< Of an answer that states its
                                          ///< length.
  /// Of an answer that doesn't: chunked, or until the connection is closed.
  uint64_t maxUndeclaredBodyBytes = 256 * internal::kKiB * internal::kKiB;
  size_t inputHighWatermark = 64 * internal::kKiB; ///< Bytes read ahead.
  size_t outputHighWatermark =
    256 * internal::kKiB; ///< SendBody answers false above.
  size_t outputLowWatermark = 64 * internal::kKiB; ///< OnDrained at or below.
  Duration connectTimeout = std::chrono::seconds(1);
  Duration silenceTimeout = std::chrono::seconds(60); ///< Without a byte read
                                                      ///< or written.
  /// From the write of the request to the end of its answer, however many bytes
  /// arrive meanwhile; zero: no bound.
  Duration answerTimeout{};
  Duration idleTimeout = std::chrono::seconds(30); ///< Between requests.
  /// Interval of TCP keep-alive probes, three of which may go unanswered; zero:
  /// none are sent.
  std::chrono::seconds probeInterval{};
};

/** \brief Why a request got no whole answer. */
enum class ClientFailure
{
  kConnectRefused,
  kConnectTimeout,
  kNotWritten,         ///< The check said no, or the socket took no byte.
  kPoolExhausted,      ///< Too many requests wait for a connection.
  kClosedBeforeAnswer, ///< Closed or reset before the head of the answer.
  kTruncatedAnswer,    ///< Closed or reset within the body of the answer.
  kMalformedAnswer,
  kAnswerTooLarge, ///< States a larger body than allowed, or sent one.
  kTimeout, ///< Silent, or not at its end, for too long after the request was
            ///< written.
  kUnsendable,    ///< The head can't be written as HTTP; nothing was sent.
  kBodyTooLong,   ///< The request's body exceeds its content length.
  kInternalError, ///< Handling the answer failed in this process.
};

std::string_view ToString(ClientFailure aFailure);

/**
 * \brief Whether a byte of the request may have reached the backend server.
 * False means that it certainly didn't run.
 */
bool MayHaveRun(ClientFailure aFailure);

/**
 * \brief Receives the answer; called from the event loop, never from within
 * HttpClientPool::Start. Nothing is called after OnEnd, OnFailed or Cancel.
 */
class ClientListener
{
public:
  virtual ~ClientListener() = default;
  virtual void OnHead(const ResponseHead& aHead) = 0;
  virtual void OnBody(std::string_view aData) = 0;
  virtual void OnEnd() = 0;
  virtual void OnDrained() = 0;
  virtual void OnFailed(ClientFailure aFailure) = 0;
};

/**
 * \brief One request and its answer.
 *
 * Calls after the end of the exchange do nothing. An answer that ends before
 * the request body does ends the exchange, and its connection is closed.
 * \sa HttpClientPool, ClientListener
 */
class ClientExchange : public std::enable_shared_from_this<ClientExchange>
{
public:
  explicit ClientExchange(std::unique_ptr<internal::ClientState> aState);
  ~ClientExchange();

  /**
   * \brief Sends a part of the body; it waits here until the head is written.
   * A part beyond the content length ends the exchange with kBodyTooLong.
   * \return false from above the high watermark until OnDrained. A part that
   * is sent in between is accepted too.
   */
  bool SendBody(std::string_view aData);

  /**
   * \brief Ends the request; needed also without a body. With bytes missing it
   * acts as Cancel.
   */
  void Finish();

  /** \brief Stops OnBody at once; the peer is held up by flow control. */
  void PauseBody();
  void ResumeBody();

  /** \brief Closes the connection, if one was taken, and ends the exchange. */
  void Cancel();

  /** \brief Bytes of the request that wait in this process. */
  size_t BufferedBytes() const;

  bool Ended() const;

  /** \brief Whether a byte of the request has been written to a socket; holds
   * after the end of the exchange too. */
  bool Written() const;

private:
  friend class internal::ClientConnection;
  friend class internal::ClientCore;

  void Reject(ClientFailure aFailure);

  std::unique_ptr<internal::ClientState> m_state;
};

/**
 * \brief Keep-alive connections to one backend server.
 *
 * Must be destroyed before its event base; requests in progress then end
 * without a callback.
 */
class HttpClientPool
{
public:
  /**
   * \brief Last check before a request is started. It is called immediately
   * before the head is written to a connected socket, again if that socket
   * took no byte and another one is tried.
   */
  using BeforeWrite = std::function<bool()>;

  HttpClientPool(event_base* aBase,
                 const Endpoint& aEndpoint,
                 const HttpClientLimits& aLimits);
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool&) = delete;
  HttpClientPool& operator=(const HttpClientPool&) = delete;

  /**
   * \brief Sends a request on an idle connection, a new one, or the next that
   * becomes free. A head that can't be written as HTTP fails with kUnsendable.
   */
  std::shared_ptr<ClientExchange> Start(
    const RequestHead& aHead,
    std::shared_ptr<ClientListener> aListener,
    BeforeWrite aBeforeWrite = {});

  /** \brief Receives the message of an exception that ended an exchange. */
  using ErrorHandler = std::function<void(std::string_view)>;

  /**
   * \brief An exception from a listener's OnHead, OnBody, OnEnd or OnDrained
   * ends its exchange with kInternalError and is reported here. Without a
   * handler, such exceptions reach the event loop's caller.
   */
  void SetErrorHandler(ErrorHandler aHandler);

  /** \brief Open connections, idle ones included. */
  size_t Connections() const;
  size_t IdleConnections() const;

private:
  std::shared_ptr<internal::ClientCore> m_core;
};

}

#endif
