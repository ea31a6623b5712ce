#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <popt.h>

#include "src/Daemon/Timer.h"

/**
 * HTTP server that stands in for a backend server of the platform in tests.
 * Sends heartbeats to its daemon, holds the key ranges that the daemon grants,
 * and executes requests for keys in these ranges. GET /runs returns how often
 * each request was executed, as JSON by attempt ID. GET /holds returns the rows
 * that it holds at that moment: first key, last key, fence. The query `bytes=N`
 * asks for a body of N bytes.
 */

namespace pistachioshift::standin {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kMisdirected = 421;

struct Options
{
  int port = 0;        ///< Port that the stand-in listens on.
  int controlPort = 0; ///< Control port of its daemon.
  char* id = nullptr;
  char* service = nullptr;
  int workMs = 20; ///< Execution time of each request.
  int heartbeatMs = 200;
};

class Instance
{
public:
  Instance(event_base* aBase, const Options& aOptions)
    : m_base(aBase)
    , m_options(aOptions)
    , m_http(evhttp_new(aBase))
    , m_heartbeat(aBase, [this] { SendHeartbeat(); })
    , m_startedAt(std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count())
  {
    if (evhttp_bind_socket(
          m_http, "127.0.0.1", static_cast<uint16_t>(aOptions.port)) != 0) {
      throw std::runtime_error("can't listen on the port given by --port");
    }
    evhttp_set_allowed_methods(m_http, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
    evhttp_set_gencb(
      m_http,
      [](evhttp_request* aRequest, void* aSelf) {
        static_cast<Instance*>(aSelf)->Handle(aRequest);
      },
      this);
    m_heartbeat.StartOnce(Duration::zero());
  }

  ~Instance() { evhttp_free(m_http); }
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

private:
  /** A range of keys, both ends included, and its fence. */
  struct GrantedRange
  {
    int64_t first;
    int64_t last;
    int64_t fence;
  };

  static const char* Header(evhttp_request* aRequest, const char* aName)
  {
    return evhttp_find_header(evhttp_request_get_input_headers(aRequest),
                              aName);
  }

  static void SetHeader(evhttp_request* aRequest,
                        const char* aName,
                        const char* aValue)
  {
    evhttp_add_header(
      evhttp_request_get_output_headers(aRequest), aName, aValue);
  }

  static void Reply(evhttp_request* aRequest,
                    int aStatus,
                    const std::string& aBody)
  {
    auto* body = evbuffer_new();
    evbuffer_add(body, aBody.data(), aBody.size());
    evhttp_send_reply(aRequest, aStatus, "-", body);
    evbuffer_free(body);
  }

  /** Body of the response to a request: as long as its query asks for. */
  std::string MakeBody(const std::string& aUri) const
  {
    const std::string field = "?bytes=";
    const auto found = aUri.find(field);
    if (found == std::string::npos) {
      return m_options.id;
    }
    return std::string(std::stoul(aUri.substr(found + field.size())), 'b');
  }

  bool HoldsKey(int64_t aKey) const
  {
    return std::chrono::steady_clock::now() < m_holdExpiresAt &&
           std::any_of(m_grantedRanges.begin(),
                       m_grantedRanges.end(),
                       [&](const GrantedRange& aRange) {
                         return aRange.first <= aKey && aKey <= aRange.last;
                       });
  }

  Json Holds() const
  {
    auto rows = Json::array();
    if (std::chrono::steady_clock::now() < m_holdExpiresAt) {
      for (const auto& range : m_grantedRanges) {
        rows.push_back(Json::array({ range.first, range.last, range.fence }));
      }
    }
    return rows;
  }

  void Handle(evhttp_request* aRequest)
  {
    const std::string uri = evhttp_request_get_uri(aRequest);
    if (uri == "/runs") {
      Reply(aRequest, kOk, Json(m_runsByAttempt).dump());
      return;
    }
    if (uri == "/holds") {
      Reply(aRequest, kOk, Holds().dump());
      return;
    }
    const auto* target = Header(aRequest, "Pistachioshift-Target-Instance");
    const auto* key = Header(aRequest, "Pistachioshift-Shard-Key");
    const auto* attemptId = Header(aRequest, "Pistachioshift-Attempt-Id");
    const bool isForThisInstance =
      target == nullptr || target == std::string(m_options.id);
    if (!isForThisInstance || (key != nullptr && !HoldsKey(std::stoll(key)))) {
      SetHeader(aRequest, "Pistachioshift-Not-Executed", "1");
      SetHeader(aRequest,
                "Pistachioshift-Attempt-Id",
                attemptId == nullptr ? "" : attemptId);
      Reply(aRequest, kMisdirected, "");
      return;
    }
    const std::string attempt = attemptId == nullptr ? "" : attemptId;
    ++m_runsByAttempt[attempt];
    const auto timer = std::make_shared<std::unique_ptr<Timer>>();
    auto* connection = evhttp_request_get_connection(aRequest);
    m_pendingRequests[connection] = aRequest;
    evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection* aConnection, void* aSelf) {
        static_cast<Instance*>(aSelf)->m_pendingRequests.erase(aConnection);
      },
      this);
    *timer = std::make_unique<Timer>(m_base, [=, this] {
      m_finishedTimers.push_back(timer);
      const auto pending = m_pendingRequests.find(connection);
      if (pending == m_pendingRequests.end() || pending->second != aRequest) {
        return; // The connection was closed, and evhttp has freed the request.
      }
      m_pendingRequests.erase(pending);
      SetHeader(aRequest, "Pistachioshift-Attempt-Id", attempt.c_str());
      SetHeader(aRequest, "Pistachioshift-Response-Signature", "signed");
      Reply(aRequest, kOk, MakeBody(uri));
    });
    (*timer)->StartOnce(milliseconds(m_options.workMs));
  }

  void SendHeartbeat()
  {
    m_finishedTimers.clear();
    m_heartbeat.StartOnce(milliseconds(m_options.heartbeatMs));
    auto holds = Json::array();
    for (const auto& range : m_grantedRanges) {
      holds.push_back(Json::array({ range.first, range.last, range.fence }));
    }
    const Json body{ { "address", fmt::format("127.0.0.1:{}", m_options.port) },
                     { "born", m_startedAt },
                     { "info",
                       { { "service", m_options.service },
                         { "version", "v1" },
                         { "zone", "z" },
                         { "slots", 8 } } },
                     { "status",
                       { { "state", "ready" },
                         { "seq", ++m_sequence },
                         { "coldRemaining", "0ms" } } },
                     { "holds", holds },
                     { "released", m_released } };
    m_heartbeatSentAt = std::chrono::steady_clock::now();
    auto* connection =
      evhttp_connection_base_new(m_base,
                                 nullptr,
                                 "127.0.0.1",
                                 static_cast<uint16_t>(m_options.controlPort));
    evhttp_connection_set_timeout(connection, 1);
    evhttp_connection_free_on_completion(connection);
    auto* request = evhttp_request_new(
      [](evhttp_request* aRequest, void* aSelf) {
        static_cast<Instance*>(aSelf)->OnReply(aRequest);
      },
      this);
    evhttp_add_header(
      evhttp_request_get_output_headers(request), "Host", "control");
    evbuffer_add_printf(
      evhttp_request_get_output_buffer(request), "%s", body.dump().c_str());
    evhttp_make_request(connection,
                        request,
                        EVHTTP_REQ_PUT,
                        fmt::format("/api/instances/{}", m_options.id).c_str());
  }

  void OnReply(evhttp_request* aRequest)
  {
    if (aRequest == nullptr ||
        evhttp_request_get_response_code(aRequest) != kOk) {
      return;
    }
    m_released = Json::array();
    auto* input = evhttp_request_get_input_buffer(aRequest);
    const auto size = evbuffer_get_length(input);
    const std::string body(reinterpret_cast<const char*>(evbuffer_pullup(
                             input, static_cast<ev_ssize_t>(size))),
                           size);
    const auto json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("holds")) {
      return;
    }
    std::vector<GrantedRange> granted;
    for (const auto& range : json["holds"]) {
      granted.push_back(GrantedRange{ range[0], range[1], range[2] });
    }
    for (const auto& old : m_grantedRanges) {
      const bool isStillGranted = std::any_of(
        granted.begin(), granted.end(), [&](const GrantedRange& aRange) {
          return aRange.first <= old.first && old.last <= aRange.last;
        });
      if (!isStillGranted) {
        m_released.push_back(Json::array({ old.first, old.last, "token" }));
      }
    }
    m_grantedRanges = std::move(granted);
    const auto holdMillis = std::stod(json["hold_time"].get<std::string>());
    m_holdExpiresAt =
      m_heartbeatSentAt + milliseconds(static_cast<int64_t>(holdMillis));
  }

  event_base* m_base;
  Options m_options;
  evhttp* m_http;
  Timer m_heartbeat;
  int64_t m_startedAt;
  int64_t m_sequence = 0;
  std::vector<GrantedRange> m_grantedRanges;
  Json m_released = Json::array();
  /** Hold times in replies count from here. */
  std::chrono::steady_clock::time_point m_heartbeatSentAt;
  std::chrono::steady_clock::time_point m_holdExpiresAt;
  std::map<std::string, int> m_runsByAttempt;
  /** Requests being executed. */
  std::map<evhttp_connection*, evhttp_request*> m_pendingRequests;
  std::vector<std::shared_ptr<std::unique_ptr<Timer>>> m_finishedTimers;
};

}
}

int
main(int aCount, char** aValues)
{
  using pistachioshift::standin::Options;
  Options parsed;
  const poptOption options[] = {
    { "port", 'p', POPT_ARG_INT, &parsed.port, 0, "port to listen on", "PORT" },
    { "control",
      'c',
      POPT_ARG_INT,
      &parsed.controlPort,
      0,
      "control port of the daemon",
      "PORT" },
    { "id", 'i', POPT_ARG_STRING, &parsed.id, 0, "instance ID", "ID" },
    { "service",
      's',
      POPT_ARG_STRING,
      &parsed.service,
      0,
      "service name",
      "NAME" },
    { "work-ms",
      'w',
      POPT_ARG_INT,
      &parsed.workMs,
      0,
      "execution time of a request",
      "MS" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  auto* context = poptGetContext(
    "standin_instance", aCount, const_cast<const char**>(aValues), options, 0);
  poptGetNextOpt(context);
  poptFreeContext(context);
  std::signal(SIGPIPE, SIG_IGN);
  auto* base = event_base_new();
  {
    const pistachioshift::standin::Instance instance(base, parsed);
    fmt::print("listening port={}\n", parsed.port);
    std::fflush(stdout);
    event_base_dispatch(base);
  }
  event_base_free(base);
  return 0;
}
