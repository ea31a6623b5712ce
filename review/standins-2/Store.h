#ifndef REVIEW_STANDINS_2_STORE_H
#define REVIEW_STANDINS_2_STORE_H

// Stand-in of the platform's store, by the page PROTOCOL.md ("The platform's
// metadata store"): appends with `at` or with `producer`, `epoch` and `seq`, the
// first response again for a repeat of one of the last five appends, reads that
// wait, newest records of keyed topics.

#include <condition_variable>
#include <deque>

#include <nlohmann/json.hpp>

#include "Support.h"

namespace review {

using Json = nlohmann::json;

struct AppendCall
{
  std::string machine, topic, producer, at;
  int64_t epoch = 0, seq = 0;
  std::vector<std::string> keys;
};

/** What happens to a call. */
struct Fate
{
  enum Kind
  {
    kAnswer,   ///< Done and answered.
    kLost,     ///< Done, not answered; the connection returns nothing more.
    kLostLate, ///< Done `delayMs` later if its condition still holds; no answer.
    kBusy,     ///< 503: nothing was done.
  } kind = kAnswer;
  int64_t delayMs = 0;
};

class Store
{
public:
  using Decide = std::function<Fate(const AppendCall&)>;

  explicit Store(Record& aRecord)
    : m_record(aRecord)
  {
  }

  /** Serves one machine at a port of its own, so that it can be turned away. */
  void Listen(uint16_t aPort, const std::string& aMachine)
  {
    m_servers.push_back(std::make_unique<HttpServer>(
      aPort, [this, aMachine](int aFd, const Message& aMessage) {
        return Handle(aFd, aMessage, aMachine);
      }));
  }

  /** Turns machines away with 503 and serves the others. */
  void TurnAway(std::set<std::string> aMachines)
  {
    const std::lock_guard lock(m_mutex);
    m_turnedAway = std::move(aMachines);
  }

  void SetDecide(Decide aDecide)
  {
    const std::lock_guard lock(m_mutex);
    m_decide = std::move(aDecide);
  }

  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue)
  {
    const std::lock_guard lock(m_mutex);
    m_topics[aTopic].records.push_back(
      std::string(1, static_cast<char>(aKey.size())) + aKey + aValue);
    m_changed.notify_all();
  }

  /** Value of the newest record of a key; empty if there is none. */
  std::string Newest(const std::string& aTopic, const std::string& aKey)
  {
    const std::lock_guard lock(m_mutex);
    std::string value;
    for (const auto& record : m_topics[aTopic].records) {
      if (KeyOf(record) == aKey) {
        value = record.substr(1 + aKey.size());
      }
    }
    return value;
  }

private:
  struct Done
  {
    int64_t seq, first, end;
  };
  struct Producer
  {
    int64_t epoch = -1, next = 0;
    std::deque<Done> last;
  };
  struct Topic
  {
    std::vector<std::string> records;
    std::map<std::string, Producer> producers;
    int64_t End() const { return static_cast<int64_t>(records.size()); }
  };

  static std::string KeyOf(const std::string& aRecord)
  {
    return aRecord.substr(1, static_cast<unsigned char>(aRecord[0]));
  }

  static std::string Big(uint64_t aValue, int aBytes)
  {
    std::string text;
    for (int index = aBytes - 1; index >= 0; --index) {
      text.push_back(static_cast<char>(aValue >> (8 * index) & 0xFF));
    }
    return text;
  }

  static std::string Base64(const std::string& aBytes)
  {
    static const char* kLetters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    uint32_t buffer = 0;
    int bits = 0;
    for (const char byte : aBytes) {
      buffer = buffer << 8 | static_cast<unsigned char>(byte);
      bits += 8;
      while (bits >= 6) {
        bits -= 6;
        text.push_back(kLetters[buffer >> bits & 63]);
      }
    }
    if (bits > 0) {
      text.push_back(kLetters[buffer << (6 - bits) & 63]);
    }
    while (text.size() % 4 != 0) {
      text.push_back('=');
    }
    return text;
  }

  static std::vector<std::string> Split(const std::string& aBody)
  {
    std::vector<std::string> records;
    for (size_t at = 0; at + 4 <= aBody.size();) {
      size_t size = 0;
      for (int index = 0; index < 4; ++index) {
        size = size << 8 | static_cast<unsigned char>(aBody[at++]);
      }
      records.push_back(aBody.substr(at, size));
      at += size;
    }
    return records;
  }

  static std::string Decode(const std::string& aText)
  {
    std::string text;
    for (size_t at = 0; at < aText.size(); ++at) {
      if (aText[at] == '%' && at + 2 < aText.size()) {
        text.push_back(
          static_cast<char>(std::stoi(aText.substr(at + 1, 2), nullptr, 16)));
        at += 2;
      } else {
        text.push_back(aText[at]);
      }
    }
    return text;
  }

  bool Handle(int aFd, const Message& aMessage, const std::string& aMachine)
  {
    const auto path = aMessage.target.substr(0, aMessage.target.find('?'));
    bool away = false;
    {
      const std::lock_guard lock(m_mutex);
      away = m_turnedAway.contains(aMachine);
    }
    if (away) {
      m_record.Line("store: %s of %s turned away with 503",
                    path.c_str(),
                    aMachine.c_str());
      return WriteAll(aFd, Answer(503, {}, "{}"));
    }
    if (path == "/api/log-append") {
      return Append(aFd, aMessage, aMachine);
    }
    if (path == "/api/log-read") {
      return Read(aFd, aMessage);
    }
    if (path == "/api/log-newest") {
      return ReadNewest(aFd, aMessage);
    }
    return WriteAll(aFd, Answer(404, {}, "{}"));
  }

  /** Applies an append under the lock; the status and the body of its answer. */
  std::pair<int, Json> Apply(const AppendCall& aCall,
                             const std::vector<std::string>& aRecords)
  {
    auto& topic = m_topics[aCall.topic];
    if (!aCall.at.empty() && std::stoll(aCall.at) != topic.End()) {
      return { 412, { { "endOffset", topic.End() } } };
    }
    if (!aCall.producer.empty()) {
      auto& producer = topic.producers[aCall.producer];
      if (aCall.epoch < producer.epoch) {
        return { 409, { { "why", "fenced" } } };
      }
      if (aCall.epoch > producer.epoch) {
        producer = Producer{ aCall.epoch, aCall.seq, {} };
      }
      for (const auto& done : producer.last) {
        if (done.seq == aCall.seq) {
          m_record.Line("store: repeat of %s epoch=%lld seq=%lld gets its first "
                        "response, offset=%lld",
                        aCall.producer.c_str(),
                        static_cast<long long>(aCall.epoch),
                        static_cast<long long>(aCall.seq),
                        static_cast<long long>(done.first));
          return { 200, { { "offset", done.first }, { "endOffset", done.end } } };
        }
      }
      if (aCall.seq != producer.next) {
        return { 409, { { "why", "seq" }, { "seq", producer.next } } };
      }
      ++producer.next;
      producer.last.push_back(Done{
        aCall.seq,
        topic.End(),
        topic.End() + static_cast<int64_t>(aRecords.size()) });
      if (producer.last.size() > 5) {
        producer.last.pop_front();
      }
    }
    const auto first = topic.End();
    for (const auto& record : aRecords) {
      topic.records.push_back(record);
    }
    m_changed.notify_all();
    return { 200, { { "offset", first }, { "endOffset", topic.End() } } };
  }

  bool Append(int aFd, const Message& aMessage, const std::string& aMachine)
  {
    AppendCall call;
    call.machine = aMachine;
    call.topic = aMessage.Query("topic");
    call.producer = Decode(aMessage.Query("producer"));
    call.at = aMessage.Query("at");
    call.epoch = std::atoll(aMessage.Query("epoch").c_str());
    call.seq = std::atoll(aMessage.Query("seq").c_str());
    const auto records = Split(aMessage.body);
    for (const auto& record : records) {
      call.keys.push_back(KeyOf(record));
    }
    std::pair<int, Json> answer;
    Fate fate;
    {
      const std::lock_guard lock(m_mutex);
      fate = m_decide ? m_decide(call) : Fate{};
      if (fate.kind == Fate::kBusy) {
        answer = { 503, Json::object() };
      } else if (fate.kind != Fate::kLostLate) {
        answer = Apply(call, records);
      }
    }
    const char* kNames[] = { "answered", "answer lost", "late, no answer", "busy" };
    m_record.Line("store: append of %s by=%s at=%s epoch=%lld seq=%lld keys=%s -> %s %d %s",
                  call.machine.c_str(),
                  call.producer.c_str(),
                  call.at.c_str(),
                  static_cast<long long>(call.epoch),
                  static_cast<long long>(call.seq),
                  call.keys.empty() ? "" : call.keys.back().c_str(),
                  kNames[fate.kind],
                  answer.first,
                  answer.second.dump().c_str());
    if (fate.kind == Fate::kLostLate) {
      std::thread([this, call, records, fate] {
        SleepMs(fate.delayMs);
        const std::lock_guard lock(m_mutex);
        const auto late = Apply(call, records);
        m_record.Line("store: late append by=%s seq=%lld done: %d %s",
                      call.producer.c_str(),
                      static_cast<long long>(call.seq),
                      late.first,
                      late.second.dump().c_str());
      }).detach();
    }
    if (fate.kind == Fate::kLost || fate.kind == Fate::kLostLate) {
      std::string rest;
      Message more;
      while (ReadMessage(aFd, rest, more, -1)) {
      } // Nothing more is returned on this connection.
      return false;
    }
    return WriteAll(aFd, Answer(answer.first, {}, answer.second.dump()));
  }

  bool Read(int aFd, const Message& aMessage)
  {
    const auto name = aMessage.Query("topic");
    const auto from = std::atoll(aMessage.Query("from").c_str());
    const auto wait = std::atoll(aMessage.Query("waitMs").c_str());
    std::string body;
    {
      std::unique_lock lock(m_mutex);
      auto& topic = m_topics[name];
      m_changed.wait_for(
        lock, Millis(wait), [&] { return topic.End() > from; });
      body = Big(static_cast<uint64_t>(topic.End()), 8) + Big(0, 8);
      for (auto at = from; at < topic.End() && body.size() < 1048576; ++at) {
        const auto& record = topic.records[static_cast<size_t>(at)];
        body += Big(record.size(), 4) + record;
      }
    }
    return WriteAll(aFd, Answer(200, {}, body));
  }

  bool ReadNewest(int aFd, const Message& aMessage)
  {
    Json items = Json::array();
    Json answer;
    {
      const std::lock_guard lock(m_mutex);
      const auto& topic = m_topics[aMessage.Query("topic")];
      std::map<std::string, Json> newest;
      for (int64_t at = 0; at < topic.End(); ++at) {
        const auto& record = topic.records[static_cast<size_t>(at)];
        const auto key = KeyOf(record);
        const auto value = record.substr(1 + key.size());
        newest.erase(key);
        if (!value.empty()) {
          newest[key] =
            Json{ { "key", key }, { "value", Base64(value) }, { "offset", at } };
        }
      }
      for (const auto& [key, item] : newest) {
        items.push_back(item);
      }
      answer = { { "items", items },
                 { "hasMore", false },
                 { "endOffset", topic.End() } };
    }
    return WriteAll(aFd, Answer(200, {}, answer.dump()));
  }

  Record& m_record;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  Decide m_decide;
  std::map<std::string, Topic> m_topics;
  std::set<std::string> m_turnedAway;
  std::vector<std::unique_ptr<HttpServer>> m_servers;
};

}

#endif
