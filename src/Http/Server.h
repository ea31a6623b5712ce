#ifndef PISTACHIOSHIFT_HTTP_SERVER_H
#define PISTACHIOSHIFT_HTTP_SERVER_H

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
class ServerConnection;
class ServerCore;
}

/** \brief Bounds of a server and of each of its connections. */
struct HttpLimits
{
  size_t maxHeadBytes = 32 * internal::kKiB;       ///< Above: 431.
  size_t maxHeaders = 128;                         ///< Above: 431.
  size_t maxConnections = 4096;                    ///< Above: closed at accept.
  size_t inputHighWatermark = 64 * internal::kKiB; ///< Bytes read ahead.
  size_t outputHighWatermark =
    256 * internal::kKiB; ///< SendBody answers false above.
  size_t outputLowWatermark = 64 * internal::kKiB; ///< OnDrained at or below.
  size_t maxDiscardBytes =
    64 * internal::kKiB; ///< Of an unread body, before closing.
  Duration headTimeout = std::chrono::seconds(10);  ///< First byte to last.
  Duration idleTimeout = std::chrono::seconds(60);  ///< Between requests.
  Duration bodyTimeout = std::chrono::seconds(30);  ///< Without a body byte.
  Duration writeTimeout = std::chrono::seconds(30); ///< Without progress.
  Duration lingerTimeout = std::chrono::seconds(2); ///< After a refusal.
};

/** \brief Why the server itself refused a request or connection. */
enum class HttpRefusal
{
  kMalformed,          ///< 400
  kAmbiguousLength,    ///< 400: Content-Length twice or with chunked.
  kBadTarget,          ///< 400
  kBadMethod,          ///< 501
  kBadVersion,         ///< 505
  kHeadTooLarge,       ///< 431
  kHeadTimeout,        ///< 408
  kTooManyConnections, ///< closed without an answer
  kUnsendableAnswer,   ///< 502: its head can't be written as HTTP.
  kInternalError,      ///< 502: handling the request failed.
};

/** \brief Name of a refusal for counters, such as "head-too-large". */
std::string_view ToString(HttpRefusal aRefusal);

/** \brief Why an exchange ended before its answer was sent. */
enum class AbortReason
{
  kPeerClosed,    ///< The caller closed or reset the connection.
  kMalformedBody, ///< The request body broke its framing.
  kTimeout,       ///< No progress of the body or the answer.
  kShutdown,      ///< The server was destroyed.
  kUnsendable,    ///< The answer can't be written as HTTP.
  kInternalError, ///< Handling the request failed in this process.
};

std::string_view ToString(AbortReason aReason);

/**
 * \brief Receives what happens to an exchange; called from the event loop.
 *
 * OnBody and OnBodyEnd stop after the answer was finished. Nothing is called
 * after OnAborted or once the answer was finished.
 *
 * OnBodyTimeout is called when no byte of the body came for
 * HttpLimits::bodyTimeout and the answer has not begun. An exchange that is not
 * finished on return is aborted; the connection ends in any case.
 */
class ServerListener
{
public:
  virtual ~ServerListener() = default;
  virtual void OnBody(std::string_view aData) = 0;
  virtual void OnBodyEnd() = 0;
  virtual void OnDrained() = 0;
  virtual void OnBodyTimeout() {}
  virtual void OnAborted(AbortReason aReason) = 0;
};

/**
 * \brief One request and its answer.
 *
 * Calls after the end of the exchange do nothing.
 * \sa HttpServer, ServerListener
 */
class ServerExchange : public std::enable_shared_from_this<ServerExchange>
{
public:
  ServerExchange(std::shared_ptr<internal::ServerConnection> aConnection,
                 RequestHead aHead);

  const RequestHead& Head() const { return m_head; }

  /**
   * \brief Names the receiver of the body. Until then the body waits. The
   * listener is released at the end of the exchange.
   */
  void SetListener(std::shared_ptr<ServerListener> aListener);

  /** \brief Stops OnBody at once; the peer is held up by flow control. */
  void PauseBody();
  void ResumeBody();

  /**
   * \brief Sends status and headers; once per exchange. A head that can't be
   * written as HTTP ends the exchange: the caller gets 502 instead.
   */
  void SendHead(const ResponseHead& aHead);

  /**
   * \brief Sends a part of the body. Before the head, or beyond the content
   * length, it ends the exchange and closes the connection.
   * \return false from above the high watermark until OnDrained. A part that
   * is sent in between is accepted too.
   */
  bool SendBody(std::string_view aData);

  /** \brief Ends the answer; with bytes missing it acts as Abort. */
  void Finish();

  /** \brief Closes the connection; the caller sees a truncated answer. */
  void Abort();

  /** \brief Bytes of the answer that wait in this process. */
  size_t BufferedBytes() const;

  /** \brief Whether the answer was finished or the exchange aborted. */
  bool Ended() const { return !m_connection; }

private:
  friend class internal::ServerConnection;

  std::shared_ptr<internal::ServerConnection> m_connection;
  std::shared_ptr<ServerListener> m_listener;
  RequestHead m_head;
};

/**
 * \brief HTTP/1.1 server on a libevent loop.
 *
 * It handles one request at a time per connection; pipelined ones wait. A
 * connection that the caller closes, also one way only, aborts its exchange.
 * Must be destroyed before its event base.
 */
class HttpServer
{
public:
  /** \brief Called as soon as a request head is complete. */
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;
  using RefusalCounter = std::function<void(HttpRefusal)>;
  /** \brief Receives the message of an exception that ended an exchange, and
   * the head of its request, if that was complete. */
  using ErrorHandler =
    std::function<void(std::string_view, const RequestHead*)>;

  /**
   * \param aEndpoint where to listen; port 0 picks a free one.
   * \throws HttpError if the endpoint can't be bound.
   */
  HttpServer(event_base* aBase,
             const Endpoint& aEndpoint,
             const HttpLimits& aLimits,
             Handler aHandler,
             RefusalCounter aOnRefusal = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /**
   * \brief An exception from the handler or a listener ends its exchange, with
   * 502 if the answer hasn't begun, and is reported here. Without an error
   * handler, such exceptions reach the event loop's caller.
   */
  void SetErrorHandler(ErrorHandler aHandler);

  /** \brief The bound endpoint, with the port that was picked. */
  Endpoint LocalEndpoint() const;

  /**
   * \brief Answers with `Connection: close` from now on, so that callers go
   * elsewhere before an idle connection has to be closed under them.
   */
  void BeginClosing();

  /**
   * \brief Closes the listening socket and idle connections; busy ones finish
   * with `Connection: close`.
   */
  void StopAccepting();

  /** \brief Exchanges whose answer is not finished. */
  size_t Active() const;

  /** \brief Open connections. */
  size_t Connections() const;

  /** \brief Bytes of answers that wait in this process, finished or not. */
  size_t UnsentBytes() const;

private:
  std::shared_ptr<internal::ServerCore> m_core;
};

}

#endif
