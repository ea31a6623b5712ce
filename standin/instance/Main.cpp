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
 * Stand-in of a backend server of the platform: sends heartbeats to its
 * daemon, holds the ranges that it is granted, and runs requests for their
 * keys. GET /runs gives how often each request ran.
 */

namespace pistachioshift::standin {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kMisdirected = 421;

struct Options
{
  int port = 0;    ///< Of the backend server.
  int control = 0; ///< Of its daemon.
  char* id = nullptr;
  char* service = nullptr;
  int workMs = 20;
  int beatMs = 200;
};

class Instance
{
public:
  Instance(event_base* aBase, const Options& aOptions)
    : m_base(aBase)
    , m_options(aOptions)
    , m_http(evhttp_new(aBase))
    , m_beat(aBase, [this] { Beat(); })
    , m_born(std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count())
  {
    if (evhttp_bind_socket(
          m_http, "127.0.0.1", static_cast<uint16_t>(aOptions.port)) != 0) {
      throw std::runtime_error("can't bind");
    }
    evhttp_set_allowed_methods(m_http, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
    evhttp_set_gencb(
      m_http,
      [](evhttp_request* aRequest, void* aSelf) {
        static_cast<Instance*>(aSelf)->Handle(aRequest);
      },
      this);
    m_beat.StartOnce(Duration::zero());
  }

  ~Instance() { evhttp_free(m_http); }
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

private:
  struct Row
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

  bool Holds(int64_t aKey) const
  {
    return std::chrono::steady_clock::now() < m_holdEnds &&
           std::any_of(m_rows.begin(), m_rows.end(), [&](const Row& aRow) {
             return aRow.first <= aKey && aKey <= aRow.last;
           });
  }

  void Handle(evhttp_request* aRequest)
  {
    const std::string uri = evhttp_request_get_uri(aRequest);
    if (uri == "/runs") {
      Reply(aRequest, kOk, Json(m_runs).dump());
      return;
    }
    const auto* target = Header(aRequest, "Pistachioshift-Target-Instance");
    const auto* key = Header(aRequest, "Pistachioshift-Shard-Key");
    const auto* request = Header(aRequest, "Pistachioshift-Attempt-Id");
    const bool mine = target == nullptr || target == std::string(m_options.id);
    if (!mine || (key != nullptr && !Holds(std::stoll(key)))) {
      SetHeader(aRequest, "Pistachioshift-Not-Executed", "1");
      Reply(aRequest, kMisdirected, "");
      return;
    }
    const std::string name = request == nullptr ? "" : request;
    ++m_runs[name];
    const auto work = std::make_shared<std::unique_ptr<Timer>>();
    auto* connection = evhttp_request_get_connection(aRequest);
    m_open[connection] = aRequest;
    evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection* aConnection, void* aSelf) {
        static_cast<Instance*>(aSelf)->m_open.erase(aConnection);
      },
      this);
    *work = std::make_unique<Timer>(m_base, [=, this] {
      m_finished.push_back(work);
      const auto open = m_open.find(connection);
      if (open == m_open.end() || open->second != aRequest) {
        return; // The connection was closed; evhttp has freed the request.
      }
      m_open.erase(open);
      SetHeader(aRequest, "Pistachioshift-Attempt-Id", name.c_str());
      SetHeader(aRequest, "Pistachioshift-Response-Signature", "signed");
      Reply(aRequest, kOk, m_options.id);
    });
    (*work)->StartOnce(milliseconds(m_options.workMs));
  }

  void Beat()
  {
    m_finished.clear();
    m_beat.StartOnce(milliseconds(m_options.beatMs));
    auto holds = Json::array();
    for (const auto& row : m_rows) {
      holds.push_back(Json::array({ row.first, row.last, row.fence }));
    }
    const Json body{ { "address", fmt::format("127.0.0.1:{}", m_options.port) },
                     { "born", m_born },
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
    m_sentAt = std::chrono::steady_clock::now();
    auto* connection = evhttp_connection_base_new(
      m_base, nullptr, "127.0.0.1", static_cast<uint16_t>(m_options.control));
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
    std::vector<Row> rows;
    for (const auto& row : json["holds"]) {
      rows.push_back(Row{ row[0], row[1], row[2] });
    }
    for (const auto& old : m_rows) {
      const bool kept =
        std::any_of(rows.begin(), rows.end(), [&](const Row& aRow) {
          return aRow.first <= old.first && old.last <= aRow.last;
        });
      if (!kept) {
        m_released.push_back(Json::array({ old.first, old.last, "token" }));
      }
    }
    m_rows = std::move(rows);
    const auto hold = std::stod(json["hold_time"].get<std::string>());
    m_holdEnds = m_sentAt + milliseconds(static_cast<int64_t>(hold));
  }

  event_base* m_base;
  Options m_options;
  evhttp* m_http;
  Timer m_beat;
  int64_t m_born;
  int64_t m_sequence = 0;
  std::vector<Row> m_rows;
  Json m_released = Json::array();
  std::chrono::steady_clock::time_point m_sentAt;
  std::chrono::steady_clock::time_point m_holdEnds;
  std::map<std::string, int> m_runs;
  std::map<evhttp_connection*, evhttp_request*> m_open; ///< Being worked on.
  std::vector<std::shared_ptr<std::unique_ptr<Timer>>> m_finished;
};

}
}

int
main(int aCount, char** aValues)
{
  using pistachioshift::standin::Options;
  Options chosen;
  const poptOption options[] = {
    { "port", 'p', POPT_ARG_INT, &chosen.port, 0, "own port", "PORT" },
    { "control", 'c', POPT_ARG_INT, &chosen.control, 0, "daemon", "PORT" },
    { "id", 'i', POPT_ARG_STRING, &chosen.id, 0, "own name", "ID" },
    { "service", 's', POPT_ARG_STRING, &chosen.service, 0, "service", "NAME" },
    { "work-ms", 'w', POPT_ARG_INT, &chosen.workMs, 0, "work", "MS" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  auto* context = poptGetContext(
    "standin_instance", aCount, const_cast<const char**>(aValues), options, 0);
  poptGetNextOpt(context);
  poptFreeContext(context);
  std::signal(SIGPIPE, SIG_IGN);
  auto* base = event_base_new();
  {
    const pistachioshift::standin::Instance instance(base, chosen);
    fmt::print("listening port={}\n", chosen.port);
    std::fflush(stdout);
    event_base_dispatch(base);
  }
  event_base_free(base);
  return 0;
}
