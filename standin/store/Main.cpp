#include <csignal>
#include <cstdio>
#include <list>
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
 * HTTP server that stands in for the platform's store in tests. Keeps topics
 * of keyed records in memory, with appends that are conditional on the end
 * offset, fencing of producers by epoch, and reads that wait for records.
 * GET /fault?mode=M sets the fault to simulate: ok (none), down (answers 503),
 * silent (never answers) or lost (stores appended records without answering).
 */

namespace pistachioshift::standin {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
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
  /** Epoch and next sequence number by producer. */
  std::map<std::string, std::pair<int64_t, int64_t>> producers;

  int64_t EndOffset() const { return static_cast<int64_t>(records.size()); }
};

class Store
{
public:
  Store(event_base* aBase, uint16_t aPort)
    : m_base(aBase)
    , m_http(evhttp_new(aBase))
  {
    auto* socket = evhttp_bind_socket_with_handle(m_http, "127.0.0.1", aPort);
    if (socket == nullptr) {
      throw std::runtime_error("can't listen on the port given by --port");
    }
    evhttp_set_gencb(
      m_http,
      [](evhttp_request* aRequest, void* aSelf) {
        static_cast<Store*>(aSelf)->Handle(aRequest);
      },
      this);
  }

  ~Store() { evhttp_free(m_http); }
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

private:
  /** A read that waits until there is a record at its offset. */
  struct PendingRead
  {
    evhttp_request* request;
    std::string topic;
    int64_t from;
    std::unique_ptr<Timer> timer;
  };

  static void Reply(evhttp_request* aRequest,
                    int aStatus,
                    const std::string& aBody)
  {
    auto* body = evbuffer_new();
    evbuffer_add(body, aBody.data(), aBody.size());
    evhttp_send_reply(aRequest, aStatus, "-", body);
    evbuffer_free(body);
  }

  void Handle(evhttp_request* aRequest)
  {
    const auto* uri = evhttp_request_get_evhttp_uri(aRequest);
    const std::string path = evhttp_uri_get_path(uri);
    evkeyvalq list{};
    const auto* query = evhttp_uri_get_query(uri);
    evhttp_parse_query_str(query == nullptr ? "" : query, &list);
    std::map<std::string, std::string> parameters;
    for (const auto* item = list.tqh_first; item != nullptr;
         item = item->next.tqe_next) {
      parameters[item->key] = item->value;
    }
    evhttp_clear_headers(&list);
    if (path == "/fault") {
      m_fault = parameters["mode"];
      Reply(aRequest, kOk, "{}");
    } else if (m_fault == "silent") {
      return; // The request stays open and is never answered.
    } else if (m_fault == "down") {
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

  void Append(evhttp_request* aRequest,
              std::map<std::string, std::string>& aParameters)
  {
    auto& topic = m_topics[aParameters["topic"]];
    auto* input = evhttp_request_get_input_buffer(aRequest);
    const auto size = evbuffer_get_length(input);
    const std::string body(reinterpret_cast<const char*>(evbuffer_pullup(
                             input, static_cast<ev_ssize_t>(size))),
                           size);
    if (aParameters.contains("at") &&
        std::stoll(aParameters["at"]) != topic.EndOffset()) {
      Reply(aRequest,
            kPreconditionFailed,
            Json{ { "endOffset", topic.EndOffset() } }.dump());
      return;
    }
    if (aParameters.contains("producer")) {
      auto& [epoch, next] = topic.producers[aParameters["producer"]];
      const auto newEpoch = std::stoll(aParameters["epoch"]);
      const auto sequence = std::stoll(aParameters["seq"]);
      if (newEpoch < epoch) {
        Reply(aRequest, kConflict, Json{ { "why", "fenced" } }.dump());
        return;
      }
      if (newEpoch == epoch && sequence != next) {
        Reply(aRequest,
              kConflict,
              Json{ { "why", "seq" }, { "seq", next } }.dump());
        return;
      }
      epoch = newEpoch;
      next = sequence + 1;
    }
    const auto first = topic.EndOffset();
    for (size_t position = 0; position + 4 <= body.size();) {
      size_t length = 0;
      for (int index = 0; index < 4; ++index) {
        length = length << 8U | static_cast<unsigned char>(body[position++]);
      }
      topic.records.push_back(body.substr(position, length));
      position += length;
    }
    CompletePendingReads(aParameters["topic"]);
    if (m_fault == "lost") {
      return;
    }
    Reply(
      aRequest,
      kOk,
      Json{ { "offset", first }, { "endOffset", topic.EndOffset() } }.dump());
  }

  void ReplyWithRecords(evhttp_request* aRequest,
                        const std::string& aTopic,
                        int64_t aFrom)
  {
    const auto& topic = m_topics[aTopic];
    auto body =
      BigEndian(static_cast<uint64_t>(topic.EndOffset()), 8) + BigEndian(0, 8);
    for (auto offset = aFrom; offset < topic.EndOffset(); ++offset) {
      const auto& record = topic.records[static_cast<size_t>(offset)];
      body += BigEndian(record.size(), 4) + record;
    }
    Reply(aRequest, kOk, body);
  }

  void Read(evhttp_request* aRequest,
            std::map<std::string, std::string>& aParameters)
  {
    const auto from = std::stoll(aParameters["from"]);
    const auto& name = aParameters["topic"];
    const auto wait = std::stoll("0" + aParameters["waitMs"]);
    if (from < m_topics[name].EndOffset() || wait == 0) {
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
      if (current->topic == aTopic) {
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
  evhttp* m_http;
  std::string m_fault;
  std::map<std::string, Topic> m_topics;
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
  const poptOption options[] = {
    { "port", 'p', POPT_ARG_INT, &port, 0, "port on 127.0.0.1", "PORT" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  auto* context = poptGetContext(
    "standin_store", aCount, const_cast<const char**>(aValues), options, 0);
  poptGetNextOpt(context);
  poptFreeContext(context);
  std::signal(SIGPIPE, SIG_IGN);
  auto* base = event_base_new();
  {
    pistachioshift::standin::Store store(base, static_cast<uint16_t>(port));
    fmt::print("listening port={}\n", port);
    std::fflush(stdout);
    event_base_dispatch(base);
  }
  event_base_free(base);
  return 0;
}
