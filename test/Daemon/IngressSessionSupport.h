#ifndef PISTACHIOSHIFT_TEST_DAEMON_INGRESSSESSIONSUPPORT_H
#define PISTACHIOSHIFT_TEST_DAEMON_INGRESSSESSIONSUPPORT_H

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/event.h>
#include <gtest/gtest.h>

#include "src/Daemon/IngressTask.h"

namespace pistachioshift::test {

constexpr Duration kBodyTimeout = std::chrono::milliseconds(50);
constexpr Duration kGiveUp = std::chrono::seconds(20);

class CallDouble : public Call
{
public:
  bool SendBody(std::string_view aData) override
  {
    bytes += aData.size();
    return true;
  }
  void Finish() override { finished = true; }
  void PauseBody() override {}
  void ResumeBody() override {}
  void Cancel() override { cancelled = true; }

  size_t bytes = 0;
  bool finished = false;
  bool cancelled = false;
};

/** Sends every attempt to the same call, which never answers. */
class RouterDouble : public RequestRouter
{
public:
  std::optional<Destination> Choose(const ServicePolicy&,
                                    const std::string&,
                                    const AttemptHistory&) override
  {
    return Destination{ .local = true };
  }

  std::shared_ptr<Call> Start(const Destination&,
                              CallRequest aRequest,
                              std::shared_ptr<CallListener> aListener) override
  {
    ++started;
    request = std::move(aRequest);
    listener = std::move(aListener);
    return call;
  }

  void QueryOutcome(const Destination&,
                    const RequestId&,
                    TablePosition,
                    PeersTask::OutcomeCallback aCallback) override
  {
    ++queries;
    onOutcome = std::move(aCallback);
  }
  TablePosition KnownPosition(const Destination&) const override { return {}; }
  void OnEnd(const ServicePolicy&,
             const Destination&,
             InstanceResult aResult,
             Duration) override
  {
    results.push_back(aResult);
  }
  void OnUploadRefused(const ServicePolicy&,
                       const Destination&,
                       Duration) override
  {
    ++uploadRefusals;
  }
  RetryBudget& BudgetOf(const ServicePolicy&) override { return budget; }

  std::shared_ptr<CallDouble> call = std::make_shared<CallDouble>();
  RetryBudget budget{ 0.1 };
  std::vector<InstanceResult> results;
  int started = 0;
  int queries = 0;
  PeersTask::OutcomeCallback onOutcome; ///< Of the last query.
  int uploadRefusals = 0;
  CallRequest request; ///< Of the last attempt.
  std::shared_ptr<CallListener> listener;
};

class DialectDouble : public IngressDialect
{
public:
  std::variant<ResolvedRequest, RefusalReason> Read(RequestHead&) override
  {
    ResolvedRequest resolved;
    resolved.timeLimit = std::chrono::minutes(10);
    resolved.upload = upload;
    resolved.requestClass.idempotent = idempotent;
    resolved.retry = retry;
    if (upload) {
      resolved.policy.division = Division::kAnyInstance;
    }
    return resolved;
  }
  void CompleteAnswer(ResponseHead&,
                      const Destination&,
                      const FenceToken&) override
  {
  }
  LocalResponse Refuse(const RefusalNotice& aNotice) override
  {
    notice = aNotice;
    LocalResponse answer;
    answer.body = ToString(aNotice.outcome);
    return answer;
  }
  void OnDone(const IngressRecord&) override { ++done; }

  std::optional<RefusalNotice> notice;
  bool upload = false;
  bool idempotent = false;
  RetrySettings retry = ResolvedRequest{}.retry;
  int done = 0;
};

/** Caller on a plain socket that never blocks. */
class CallerDouble
{
public:
  explicit CallerDouble(uint16_t aPort)
    : m_socket(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connected = connect(m_socket,
                        reinterpret_cast<const sockaddr*>(&address),
                        sizeof(address)) == 0;
  }
  ~CallerDouble() { close(m_socket); }
  CallerDouble(const CallerDouble&) = delete;
  CallerDouble& operator=(const CallerDouble&) = delete;

  void Leave() const { shutdown(m_socket, SHUT_RDWR); }

  bool Write(const std::string& aText) const
  {
    const auto sent =
      send(m_socket, aText.data(), aText.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return sent == static_cast<ssize_t>(aText.size());
  }

  /** Reads what is there; true at the end of the stream. */
  bool AtEnd()
  {
    std::array<char, 4096> buffer{};
    const auto count =
      recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    received.append(buffer.data(), count > 0 ? static_cast<size_t>(count) : 0);
    return count == 0;
  }

  std::string received;
  bool connected = false;

private:
  int m_socket;
};

inline uint16_t
FreePort()
{
  const int one = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* any = reinterpret_cast<sockaddr*>(&address);
  const bool bound =
    bind(one, any, size) == 0 && getsockname(one, any, &size) == 0;
  close(one);
  EXPECT_TRUE(bound);
  return ntohs(address.sin_port);
}

inline HttpLimits
ShortBodyTimeout()
{
  HttpLimits limits;
  limits.bodyTimeout = kBodyTimeout;
  return limits;
}

/** Sessions of real connections, beside doubles of everything else. */
class IngressSessionTest : public ::testing::Test
{
protected:
  ~IngressSessionTest() override
  {
    m_task.reset();
    event_base_free(m_base);
  }

  bool RunUntil(const std::function<bool()>& aCondition)
  {
    const auto end = m_clock.Now() + kGiveUp;
    while (!aCondition() && m_clock.Now() < end) {
      event_base_loop(m_base, EVLOOP_NONBLOCK);
    }
    return aCondition();
  }

  static std::string Upload(size_t aLength, size_t aSent)
  {
    return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
           std::to_string(aLength) + "\r\n\r\n" + std::string(aSent, 'x');
  }

  event_base* m_base = event_base_new();
  SystemClock m_clock;
  RandomEngine m_random{ 1 };
  DialectDouble m_dialect;
  RouterDouble m_router;
  Metrics m_metrics;
  BulkQueue m_bulk{ m_base, m_clock, 0.0 };
  uint16_t m_port = FreePort();
  std::unique_ptr<IngressTask> m_task =
    std::make_unique<IngressTask>(IngressContext{ m_base,
                                                  m_clock,
                                                  m_random,
                                                  m_dialect,
                                                  m_router,
                                                  m_metrics,
                                                  m_bulk },
                                  Endpoint{ "127.0.0.1", m_port },
                                  ShortBodyTimeout());
};

}

#endif
