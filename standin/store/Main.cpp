#include <chrono>
#include <csignal>
#include <cstdio>
#include <list>
#include <map>
#include <memory>
#include <optional>
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
#include "standin/store/ProducerTable.h"

/**
 * HTTP server that stands in for the platform's store in tests. Keeps topics
 * of keyed records in memory, with appends that are conditional on the end
 * offset, fencing of producers by epoch, repeats that receive their first
 * response again, and reads that wait for records.
 * GET /fault?mode=M sets the fault to simulate: ok (none), down (answers 503),
 * silent (never answers), lost (stores appended records without answering) or
 * late (same, after delayMs milliseconds, if the condition still holds then).
 * With count=N, lost and late end after N appends. With second=1, the fault is
 * simulated on the port given by --second-port only; it serves the same topics.
 * GET /copy makes a copy of all topics and producers; GET /return goes back to
 * it. What was written in between is lost, its offsets are given out again, and
 * the header Store-Era of all answers rises by one. Reads that wait stay
 * pending. GET /calls returns the number of calls by path.
 */

namespace pistachioshift::standin {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kUnavailable = 503;

std::string
BigEndian(uint64_t aValue, unsigned aCount)
{
  std::string bytes;
  for (unsigned index = aCount; index > 0; --index) {
    bytes.push_back(static_cast<char>((aValue >> (8 * (index - 1))) & 0xFFU));
  }
  return bytes;
}

std::string
Base64(const std::string& aBytes)
{
  constexpr const char* kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  uint32_t buffer = 0;
  unsigned bits = 0;
  for (const char byte : aBytes) {
    buffer = buffer << 8U | static_cast<unsigned char>(byte);
    bits += 8;
    while (bits >= 6) {
      bits -= 6;
      text.push_back(kAlphabet[(buffer >> bits) & 0x3FU]);
    }
  }
  if (bits > 0) {
    text.push_back(kAlphabet[(buffer << (6 - bits)) & 0x3FU]);
  }
  while (text.size() % 4 != 0) {
    text.push_back('=');
  }
  return text;
}

struct Topic
{
  std::vector<std::string> records; ///< Key length (1 byte), key, value.
  ProducerTable producers;

  int64_t EndOffset() const { return static_cast<int64_t>(records.size()); }
};

class Store
{
public:
  /** \param aSecondPort 0: none. */
  Store(event_base* aBase, uint16_t aPort, uint16_t aSecondPort)
    : m_base(aBase)
  {
    Listen(m_first, aPort);
    if (aSecondPort != 0) {
      Listen(m_second, aSecondPort);
    }
  }

  ~Store()
  {
    for (auto* http : { m_first.http, m_second.http }) {
      if (http != nullptr) {
        evhttp_free(http);
      }
    }
  }
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

private:
  /** Port of the store, with the fault that it simulates. */
  struct Door
  {
    Store* store = nullptr;
    evhttp* http = nullptr;
    std::string fault;
  };

  void Listen(Door& aDoor, uint16_t aPort)
  {
    aDoor.store = this;
    aDoor.http = evhttp_new(m_base);
    if (evhttp_bind_socket(aDoor.http, "127.0.0.1", aPort) != 0) {
      throw std::runtime_error("can't listen on the given port");
    }
    evhttp_set_gencb(
      aDoor.http,
      [](evhttp_request* aRequest, void* aSelf) {
        auto* door = static_cast<Door*>(aSelf);
        door->store->Handle(aRequest, *door);
      },
      &aDoor);
  }

  /** A read that waits until there is a record at its offset. */
  struct PendingRead
  {
    evhttp_request* request;
    std::string topic;
    int64_t from;
    std::unique_ptr<Timer> timer;
  };

  using Parameters = std::map<std::string, std::string>;

  struct AppendAnswer
  {
    int status = kOk;
    Json body;
  };

  void Reply(evhttp_request* aRequest,
             int aStatus,
             const std::string& aBody) const
  {
    evhttp_add_header(evhttp_request_get_output_headers(aRequest),
                      "Store-Era",
                      std::to_string(m_era).c_str());
    auto* body = evbuffer_new();
    evbuffer_add(body, aBody.data(), aBody.size());
    evhttp_send_reply(aRequest, aStatus, "-", body);
    evbuffer_free(body);
  }

  void Handle(evhttp_request* aRequest, const Door& aDoor)
  {
    const auto* uri = evhttp_request_get_evhttp_uri(aRequest);
    const std::string path = evhttp_uri_get_path(uri);
    evkeyvalq list{};
    const auto* query = evhttp_uri_get_query(uri);
    evhttp_parse_query_str(query == nullptr ? "" : query, &list);
    Parameters parameters;
    for (const auto* item = list.tqh_first; item != nullptr;
         item = item->next.tqe_next) {
      parameters[item->key] = item->value;
    }
    evhttp_clear_headers(&list);
    if (Control(aRequest, path, parameters)) {
      return;
    }
    ++m_calls[path];
    if (aDoor.fault == "silent") {
      return; // The request stays open and is never answered.
    }
    if (aDoor.fault == "down") {
      Reply(aRequest, kUnavailable, "{}");
    } else if (path == "/api/log-append") {
      Append(aRequest, parameters);
    } else if (path == "/api/log-read") {
      Read(aRequest, parameters);
    } else if (path == "/api/log-newest") {
      ReadNewestPerKey(aRequest, parameters["topic"]);
    } else {
      Reply(aRequest, kNotFound, "{}");
    }
  }

  /** Handles the calls of tests; returns false for those of clients. */
  bool Control(evhttp_request* aRequest,
               const std::string& aPath,
               Parameters& aParameters)
  {
    auto answer = Json::object();
    if (aPath == "/fault") {
      SetFault(aParameters);
    } else if (aPath == "/copy") {
      m_copy = m_topics;
    } else if (aPath == "/return") {
      m_topics = m_copy;
      ++m_era;
    } else if (aPath == "/calls") {
      answer = Json(m_calls);
    } else {
      return false;
    }
    Reply(aRequest, kOk, answer.dump());
    return true;
  }

  void SetFault(Parameters& aParameters)
  {
    m_second.fault = aParameters["mode"];
    if (aParameters.contains("second")) {
      return;
    }
    m_first.fault = aParameters["mode"];
    m_lateBy =
      std::chrono::milliseconds(std::stoll("0" + aParameters["delayMs"]));
    m_faultyAppends = aParameters.contains("count")
                        ? std::optional(std::stoi(aParameters["count"]))
                        : std::nullopt;
  }

  /** Fault to simulate for this append. */
  std::string NextAppendFault()
  {
    const auto fault = m_first.fault;
    if (m_faultyAppends && --*m_faultyAppends <= 0) {
      m_first.fault = "ok";
      m_faultyAppends.reset();
    }
    return fault;
  }

  void Append(evhttp_request* aRequest, const Parameters& aParameters)
  {
    auto* input = evhttp_request_get_input_buffer(aRequest);
    const auto size = evbuffer_get_length(input);
    const std::string body(reinterpret_cast<const char*>(evbuffer_pullup(
                             input, static_cast<ev_ssize_t>(size))),
                           size);
    const auto fault = NextAppendFault();
    if (fault == "late") {
      m_lateAppends.push_back(std::make_unique<Timer>(
        m_base, [this, aParameters, body] { Append(aParameters, body); }));
      m_lateAppends.back()->StartOnce(m_lateBy);
      return;
    }
    const auto answer = Append(aParameters, body);
    if (fault != "lost") {
      Reply(aRequest, answer.status, answer.body.dump());
    }
  }

  AppendAnswer Append(const Parameters& aParameters, const std::string& aBody)
  {
    const auto& name = aParameters.at("topic");
    auto& topic = m_topics[name];
    if (aParameters.contains("at") &&
        std::stoll(aParameters.at("at")) != topic.EndOffset()) {
      return { kPreconditionFailed, { { "endOffset", topic.EndOffset() } } };
    }
    if (!aParameters.contains("producer")) {
      return Appended(AppendRecords(name, aBody));
    }
    const auto& producer = aParameters.at("producer");
    const auto epoch = std::stoll(aParameters.at("epoch"));
    const auto sequence = std::stoll(aParameters.at("seq"));
    if (aBody.empty()) {
      const bool set = topic.producers.SetEpoch(producer, epoch);
      return set ? Appended({ topic.EndOffset(), topic.EndOffset() })
                 : AppendAnswer{ kConflict, { { "why", "fenced" } } };
    }
    const auto check = topic.producers.Check(producer, epoch, sequence);
    switch (check.verdict) {
      case ProducerVerdict::kFenced:
        return { kConflict, { { "why", "fenced" } } };
      case ProducerVerdict::kSequence:
        return { kConflict, { { "why", "seq" }, { "seq", check.expected } } };
      case ProducerVerdict::kRepeat:
        return Appended(check.first);
      case ProducerVerdict::kAppend:
        break;
    }
    const auto offsets = AppendRecords(name, aBody);
    topic.producers.Record(producer, epoch, sequence, offsets);
    return Appended(offsets);
  }

  static AppendAnswer Appended(const AppendOffsets& aOffsets)
  {
    return { kOk,
             { { "offset", aOffsets.first }, { "endOffset", aOffsets.end } } };
  }

  AppendOffsets AppendRecords(const std::string& aTopic,
                              const std::string& aBody)
  {
    auto& topic = m_topics[aTopic];
    const auto first = topic.EndOffset();
    for (size_t position = 0; position + 4 <= aBody.size();) {
      size_t length = 0;
      for (int index = 0; index < 4; ++index) {
        length = length << 8U | static_cast<unsigned char>(aBody[position++]);
      }
      topic.records.push_back(aBody.substr(position, length));
      position += length;
    }
    CompletePendingReads(aTopic);
    return { first, topic.EndOffset() };
  }

  void ReplyWithRecords(evhttp_request* aRequest,
                        const std::string& aTopic,
                        int64_t aFrom)
  {
    const auto& topic = m_topics[aTopic];
    if (aFrom > topic.EndOffset()) {
      Reply(aRequest, kGone, Json{ { "firstOffset", 0 } }.dump());
      return;
    }
    auto body =
      BigEndian(static_cast<uint64_t>(topic.EndOffset()), 8) + BigEndian(0, 8);
    for (auto offset = aFrom; offset < topic.EndOffset(); ++offset) {
      const auto& record = topic.records[static_cast<size_t>(offset)];
      body += BigEndian(record.size(), 4) + record;
    }
    Reply(aRequest, kOk, body);
  }

  void Read(evhttp_request* aRequest, Parameters& aParameters)
  {
    const auto from = std::stoll(aParameters["from"]);
    const auto& name = aParameters["topic"];
    const auto wait = std::stoll("0" + aParameters["waitMs"]);
    if (from != m_topics[name].EndOffset() || wait == 0) {
      ReplyWithRecords(aRequest, name, from);
      return;
    }
    m_pendingReads.push_back(PendingRead{ aRequest, name, from, nullptr });
    auto item = std::prev(m_pendingReads.end());
    item->timer = std::make_unique<Timer>(m_base, [this, item] {
      const auto request = item->request;
      const auto topic = item->topic;
      const auto offset = item->from;
      m_timedOutReads.splice(m_timedOutReads.end(), m_pendingReads, item);
      ReplyWithRecords(request, topic, offset);
    });
    item->timer->StartOnce(std::chrono::milliseconds(wait));
  }

  void CompletePendingReads(const std::string& aTopic)
  {
    m_timedOutReads.clear();
    for (auto item = m_pendingReads.begin(); item != m_pendingReads.end();) {
      const auto current = item++;
      const bool due = current->from != m_topics[aTopic].EndOffset();
      if (current->topic == aTopic && due) {
        ReplyWithRecords(current->request, aTopic, current->from);
        m_pendingReads.erase(current);
      }
    }
  }

  void ReadNewestPerKey(evhttp_request* aRequest, const std::string& aTopic)
  {
    const auto& topic = m_topics[aTopic];
    std::map<std::string, Json> newest;
    for (int64_t offset = 0; offset < topic.EndOffset(); ++offset) {
      const auto& record = topic.records[static_cast<size_t>(offset)];
      const size_t size = static_cast<unsigned char>(record[0]);
      const auto key = record.substr(1, size);
      const auto value = record.substr(1 + size);
      if (value.empty()) {
        newest.erase(key);
      } else {
        newest[key] = Json{ { "key", key },
                            { "value", Base64(value) },
                            { "offset", offset } };
      }
    }
    Json items = Json::array();
    for (const auto& [key, item] : newest) {
      items.push_back(item);
    }
    Reply(aRequest,
          kOk,
          Json{ { "items", items },
                { "hasMore", false },
                { "endOffset", topic.EndOffset() } }
            .dump());
  }

  event_base* m_base;
  Door m_first;
  Door m_second;
  std::optional<int> m_faultyAppends; ///< nullopt: until the next fault.
  std::chrono::milliseconds m_lateBy{};
  std::vector<std::unique_ptr<Timer>> m_lateAppends;
  std::map<std::string, Topic> m_topics;
  std::map<std::string, Topic> m_copy; ///< As of the last /copy.
  int64_t m_era = 1;
  std::map<std::string, int> m_calls; ///< By path, whatever the answer.
  std::list<PendingRead> m_pendingReads;
  /** Kept until the next append, as a timer callback may still be running. */
  std::list<PendingRead> m_timedOutReads;
};

}
}

int
main(int aCount, char** aValues)
{
  int port = 0;
  int secondPort = 0;
  const poptOption options[] = {
    { "port", 'p', POPT_ARG_INT, &port, 0, "port on 127.0.0.1", "PORT" },
    { "second-port",
      's',
      POPT_ARG_INT,
      &secondPort,
      0,
      "further port",
      "PORT" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  auto* context = poptGetContext(
    "standin_store", aCount, const_cast<const char**>(aValues), options, 0);
  poptGetNextOpt(context);
  poptFreeContext(context);
  std::signal(SIGPIPE, SIG_IGN);
  auto* base = event_base_new();
  {
    pistachioshift::standin::Store store(
      base, static_cast<uint16_t>(port), static_cast<uint16_t>(secondPort));
    fmt::print("listening port={}\n", port);
    std::fflush(stdout);
    event_base_dispatch(base);
  }
  event_base_free(base);
  return 0;
}
