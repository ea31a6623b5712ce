#ifndef PISTACHIOSHIFT_TEST_HTTP_LOOPBACKSUPPORT_H
#define PISTACHIOSHIFT_TEST_HTTP_LOOPBACKSUPPORT_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "Pistachioshift/Http"
#include "src/Http/internal/EventHandles.h"

namespace pistachioshift::test {

/** A server and a pool on one event base. */
class LoopbackTest : public ::testing::Test
{
protected:
  LoopbackTest();
  ~LoopbackTest() override;

  void StartServer(HttpServer::Handler aHandler);
  void StartPool();

  /** Runs the loop until the condition holds; false after many seconds. */
  bool RunUntil(const std::function<bool()>& aDone);

  /** Runs what is due now, a few times over. */
  void RunBriefly();

  struct BaseDeleter
  {
    void operator()(event_base* aBase) const { event_base_free(aBase); }
  };

  std::unique_ptr<event_base, BaseDeleter> m_base;
  HttpLimits m_limits;
  HttpClientLimits m_clientLimits;
  std::map<HttpRefusal, int> m_refusals;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<HttpClientPool> m_pool;
};

/** Records an answer. */
class AnswerRecorder : public ClientListener
{
public:
  void OnHead(const ResponseHead& aHead) override { head = aHead; }
  void OnBody(std::string_view aData) override { body += aData; }
  void OnEnd() override { ended = true; }
  void OnDrained() override { ++drained; }
  void OnFailed(ClientFailure aFailure) override { failure = aFailure; }
  bool Done() const { return ended || failure; }

  std::optional<ResponseHead> head;
  std::string body;
  std::optional<ClientFailure> failure;
  int drained = 0;
  bool ended = false;
};

/** Records a request body and how the exchange ended. */
class RequestRecorder : public ServerListener
{
public:
  void OnBody(std::string_view aData) override { body += aData; }
  void OnBodyEnd() override { ended = true; }
  void OnDrained() override { ++drained; }
  void OnAborted(AbortReason aReason) override { aborted = aReason; }
  void OnBodyTimeout() override
  {
    if (onBodyTimeout) {
      onBodyTimeout();
    }
  }

  std::function<void()> onBodyTimeout;
  std::string body;
  std::optional<AbortReason> aborted;
  int drained = 0;
  bool ended = false;
};

/** A peer that writes and reads bytes as they are. */
class RawPeer
{
public:
  RawPeer(event_base* aBase, const Endpoint& aEndpoint);
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;

  void Write(std::string_view aData);
  std::string Received() const;
  bool Closed() const { return m_closed; }

  /** Whether the connection ended with an error. */
  bool IsReset() const { return m_reset; }
  void Close() { m_stream.reset(); }

private:
  bool m_closed = false;
  bool m_reset = false;
  internal::BufferEventPtr m_stream;
};

/** Accepts connections and answers the first bytes of each with a script. */
class RawServer
{
public:
  RawServer(event_base* aBase, std::string aAnswer, bool aCloseAfter);

  Endpoint LocalEndpoint() const { return m_endpoint; }
  const std::string& Received() const { return m_received; }
  int Accepted() const { return static_cast<int>(m_streams.size()); }
  void CloseStreams() { m_streams.clear(); }
  /** For the requests from now on. */
  void SetAnswer(std::string aAnswer) { m_answer = std::move(aAnswer); }

  /** These act at once, also from within a callback of the loop. */
  void ResetStreams();
  void ShutDownStreams();

private:
  void Accept(evutil_socket_t aSocket);
  void Read(bufferevent* aStream);

  event_base* m_base;
  std::string m_answer;
  bool m_closeAfter;
  std::string m_received;
  Endpoint m_endpoint;
  internal::ListenerPtr m_listener;
  std::vector<internal::BufferEventPtr> m_streams;
};

/** Answers with 200 and a body of known length. */
void Answer(ServerExchange& aExchange, std::string_view aBody);

}

#endif
