#ifndef REVIEW_STANDINS_2_INSTANCE_H
#define REVIEW_STANDINS_2_INSTANCE_H

// Stand-in of an application instance, by the page PROTOCOL.md ("Instances",
// "Service discovery", "Keys that instances hold"): sends pings to the control
// address of its machine, holds the keys that the replies name until hold_time
// has passed, runs requests for these keys, answers 421 for others and for
// another target. All lives of a run note what they hold and run in a Journal.

#include <condition_variable>
#include <optional>

#include <nlohmann/json.hpp>

#include "Support.h"

namespace review {

using Json = nlohmann::json;

/** What the instances of a run held and ran, for the check of the rules. */
struct Journal
{
  struct Hold
  {
    std::string life;
    int64_t from, to, fence, start, end, runsOut;
  };
  struct Run
  {
    std::string life, id;
    int64_t key, start, end;
  };

  std::mutex mutex;
  std::vector<Hold> holds; ///< `end` -1: still held.
  std::vector<Run> runs;   ///< `end` -1: still at work.
};

struct InstanceSettings
{
  std::string id, service, zone;
  uint16_t port = 0, control = 0;
  int slots = 9;
  int64_t beatMs = 870;
  std::function<int64_t()> workMs;
  bool sharded = true;
  bool recordsRuns = true; ///< A line of the record for each request that runs.
};

/** One life of an instance. */
class Instance
{
public:
  Instance(InstanceSettings aSettings, Journal& aJournal, Record& aRecord)
    : m_settings(std::move(aSettings))
    , m_journal(aJournal)
    , m_record(aRecord)
    , m_born(WallMillis())
    , m_life(m_settings.id + "/" + std::to_string(m_born))
  {
    m_server = std::make_unique<HttpServer>(
      m_settings.port, [this](int aFd, const Message& aMessage) {
        return Handle(aFd, aMessage);
      });
    m_record.Line("instance %s starts", m_life.c_str());
    m_beats = std::thread([this] { SendBeats(); });
    m_expiry = std::thread([this] { WatchExpiry(); });
  }
  ~Instance() { Crash(); }

  /** Ends as a killed process: connections are reset, nothing more is sent. */
  void Crash()
  {
    if (m_ended.exchange(true)) {
      return;
    }
    {
      const std::lock_guard lock(m_mutex);
      DropAll(Now());
      m_wake.notify_all();
    }
    m_record.Line("instance %s ends", m_life.c_str());
    m_server->Stop();
    m_beats.join();
    m_expiry.join();
  }

  /** From now on, pings say `draining`. */
  void Drain()
  {
    const std::lock_guard lock(m_mutex);
    m_state = "draining";
    m_wake.notify_all();
  }

  /** Sends DELETE and no more pings; true if it was confirmed. */
  bool Leave()
  {
    std::string body;
    {
      const std::lock_guard lock(m_mutex);
      m_left = true;
      body = Json{ { "born", m_born } }.dump();
    }
    const auto answer = Call(m_settings.control,
                             "DELETE",
                             "/api/instances/" + m_settings.id,
                             { { "Host", "control" },
                               { "Content-Type", "application/json" } },
                             body,
                             1000);
    m_record.Line(
      "instance %s sends DELETE -> %d", m_life.c_str(), answer.status);
    return answer.status / 100 == 2;
  }

  /** Holds the next ping back on its way for this time. */
  void DelayNextBeat(int64_t aMs)
  {
    const std::lock_guard lock(m_mutex);
    m_delayNext = aMs;
  }

  /** Responses to pings that were longer than 4 KiB. */
  int LongReplies() const { return m_longReplies; }

  size_t HeldRows()
  {
    const std::lock_guard lock(m_mutex);
    return m_rows.size();
  }

  /** One of so many answers has a head that no parser should take: a field
   * value that begins with a NUL byte. 0: none. */
  void SpoilOneOf(int aCount) { m_spoilOneOf = aCount; }
  int Spoiled() const { return m_spoiled; }

  int64_t HeldKeys()
  {
    const std::lock_guard lock(m_mutex);
    int64_t keys = 0;
    for (const auto& row : m_rows) {
      keys += row.to - row.from + 1;
    }
    return keys;
  }

  /** Whether the ping that is held back has been sent. */
  bool PingHeldBack()
  {
    const std::lock_guard lock(m_mutex);
    return m_heldBack;
  }

  /** When the last ping was confirmed. */
  int64_t LastPingAt() const { return m_lastPingAt; }

  const std::string& Life() const { return m_life; }

private:
  static constexpr size_t kMaxReplyBytes = 4096;

  struct Row
  {
    int64_t from, to, fence;
    size_t hold; ///< In the journal.
  };

  /** Keys that were left out, until no request of them is at work. */
  struct Leaving
  {
    int64_t from, to, fence;
    size_t hold;
  };

  size_t NoteHold(const Row& aRow, int64_t aStart, int64_t aRunsOut)
  {
    const std::lock_guard lock(m_journal.mutex);
    m_journal.holds.push_back(
      { m_life, aRow.from, aRow.to, aRow.fence, aStart, -1, aRunsOut });
    return m_journal.holds.size() - 1;
  }
  void EndHold(size_t aHold, int64_t aAt)
  {
    const std::lock_guard lock(m_journal.mutex);
    if (m_journal.holds[aHold].end < 0) {
      m_journal.holds[aHold].end = aAt;
    }
  }
  void RenewHold(size_t aHold, int64_t aRunsOut)
  {
    const std::lock_guard lock(m_journal.mutex);
    m_journal.holds[aHold].runsOut = aRunsOut;
  }

  void DropAll(int64_t aAt)
  {
    for (const auto& row : m_rows) {
      EndHold(row.hold, aAt);
    }
    for (const auto& row : m_leaving) {
      EndHold(row.hold, aAt);
    }
    m_rows.clear();
    m_leaving.clear();
  }

  bool AtWork(int64_t aFrom, int64_t aTo) const
  {
    return std::any_of(
      m_running.begin(), m_running.end(), [&](const auto& aItem) {
        return aItem.second >= aFrom && aItem.second <= aTo;
      });
  }

  /** Moves keys that were left out and are no longer worked on to `released`. */
  void Settle()
  {
    std::erase_if(m_leaving, [&](const Leaving& aRow) {
      if (AtWork(aRow.from, aRow.to)) {
        return false;
      }
      EndHold(aRow.hold, Now());
      char token[32];
      std::snprintf(token,
                    sizeof token,
                    "%08llx%08x",
                    static_cast<long long>(m_born & 0xFFFFFFFF),
                    ++m_tokens);
      m_released.push_back(Json::array({ aRow.from, aRow.to, token }));
      return true;
    });
  }

  void SendBeats()
  {
    for (;;) {
      Json body;
      int64_t delay = 0;
      int64_t beat = 0;
      size_t releasedCount = 0;
      {
        std::unique_lock lock(m_mutex);
        if (m_ended) {
          return;
        }
        Settle();
        auto holds = Json::array();
        for (const auto& row : m_rows) {
          holds.push_back(Json::array({ row.from, row.to, row.fence }));
        }
        for (const auto& row : m_leaving) {
          holds.push_back(Json::array({ row.from, row.to, row.fence }));
        }
        beat = ++m_sequence;
        body = Json{
          { "address", "127.0.0.1:" + std::to_string(m_settings.port) },
          { "born", m_born },
          { "info",
            { { "service", m_settings.service },
              { "version", "v1" },
              { "zone", m_settings.zone },
              { "slots", m_settings.slots } } },
          { "status",
            { { "state", m_state },
              { "seq", beat },
              { "coldRemaining", "0ms" } } }
        };
        if (m_settings.sharded) {
          body["holds"] = holds;
          body["released"] = m_released;
          releasedCount = m_released.size();
        }
        delay = std::exchange(m_delayNext, 0);
        m_heldBack = m_heldBack || delay > 0;
      }
      const auto text = body.dump();
      if (delay > 0) {
        m_record.Line("instance %s: ping seq=%lld state=ready is held up for "
                      "%lld ms on its way",
                      m_life.c_str(),
                      static_cast<long long>(beat),
                      static_cast<long long>(delay));
        std::thread([this, text, delay, beat] {
          SleepMs(delay);
          const auto late = SendBeat(text);
          m_record.Line("ping seq=%lld arrives late -> %d",
                        static_cast<long long>(beat),
                        late.status);
        }).detach();
      } else {
        const auto sentAt = Now();
        const auto answer = SendBeat(text);
        // "A 2xx response acknowledges the ping if it arrives within a second
        // and is at most 4 KiB."
        const bool tooLong = answer.body.size() > kMaxReplyBytes;
        if (tooLong && !m_longReplies++) {
          m_record.Line("instance %s: the response to ping seq=%lld has %zu "
                        "bytes and does not acknowledge it",
                        m_life.c_str(),
                        static_cast<long long>(beat),
                        answer.body.size());
        }
        if (answer.status / 100 == 2 && !tooLong) {
          m_lastPingAt = Now();
          OnReply(answer.body, sentAt, releasedCount);
        }
      }
      std::unique_lock lock(m_mutex);
      const bool soon = !m_leaving.empty() || !m_released.empty();
      const auto state = m_state;
      m_wake.wait_for(
        lock, Millis(soon ? 100 : m_settings.beatMs), [&] {
          return m_ended || m_left || m_state != state;
        });
      if (m_ended || m_left) {
        return;
      }
    }
  }

  Message SendBeat(const std::string& aBody) const
  {
    return Call(m_settings.control,
                "PUT",
                "/api/instances/" + m_settings.id,
                { { "Host", "control" },
                  { "Content-Type", "application/json" } },
                aBody,
                1000);
  }

  void OnReply(const std::string& aBody, int64_t aSentAt, size_t aReleased)
  {
    const auto json = Json::parse(aBody, nullptr, false);
    const std::lock_guard lock(m_mutex);
    m_released.erase(
      m_released.begin(),
      m_released.begin() + static_cast<std::ptrdiff_t>(aReleased));
    if (m_ended || !json.is_object() || !json.contains("holds")) {
      return;
    }
    const auto now = Now();
    const auto runsOut =
      aSentAt + std::stoll(json["hold_time"].get<std::string>());
    std::vector<Row> rows;
    for (const auto& item : json["holds"]) {
      Row row{ item[0], item[1], item[2], 0 };
      const bool older = std::any_of(
        m_rows.begin(), m_rows.end(), [&](const Row& aOld) {
          return aOld.from <= row.to && row.from <= aOld.to &&
                 aOld.fence > row.fence;
        });
      if (older) {
        continue;
      }
      const auto same = std::find_if(
        m_rows.begin(), m_rows.end(), [&](const Row& aOld) {
          return aOld.from == row.from && aOld.to == row.to &&
                 aOld.fence == row.fence;
        });
      if (same != m_rows.end()) {
        row.hold = same->hold;
        RenewHold(row.hold, runsOut);
        m_rows.erase(same);
      } else {
        row.hold = NoteHold(row, now, runsOut);
        m_record.Line("instance %s takes %lld-%lld fence=%lld",
                      m_life.c_str(),
                      static_cast<long long>(row.from),
                      static_cast<long long>(row.to),
                      static_cast<long long>(row.fence));
      }
      rows.push_back(row);
    }
    for (const auto& old : m_rows) {
      Omit(old, rows);
    }
    m_rows = std::move(rows);
    m_runsOut = runsOut;
    Settle();
  }

  /** Parts of an old row that no new row holds are left out. */
  void Omit(const Row& aOld, const std::vector<Row>& aNew)
  {
    std::vector<std::pair<int64_t, int64_t>> parts{ { aOld.from, aOld.to } };
    for (const auto& row : aNew) {
      std::vector<std::pair<int64_t, int64_t>> rest;
      for (const auto& [from, to] : parts) {
        if (row.to < from || row.from > to) {
          rest.emplace_back(from, to);
          continue;
        }
        if (from < row.from) {
          rest.emplace_back(from, row.from - 1);
        }
        if (to > row.to) {
          rest.emplace_back(row.to + 1, to);
        }
      }
      parts = std::move(rest);
    }
    for (const auto& [from, to] : parts) {
      m_record.Line("instance %s is to release %lld-%lld fence=%lld",
                    m_life.c_str(),
                    static_cast<long long>(from),
                    static_cast<long long>(to),
                    static_cast<long long>(aOld.fence));
      Row part{ from, to, aOld.fence, 0 };
      int64_t start = 0;
      int64_t runsOut = 0;
      {
        const std::lock_guard lock(m_journal.mutex);
        start = m_journal.holds[aOld.hold].start;
        runsOut = m_journal.holds[aOld.hold].runsOut;
      }
      part.hold = NoteHold(part, start, runsOut);
      m_leaving.push_back({ from, to, aOld.fence, part.hold });
    }
    EndHold(aOld.hold, Now());
  }

  void WatchExpiry()
  {
    while (!m_ended) {
      SleepMs(5);
      const std::lock_guard lock(m_mutex);
      if (!m_ended && (!m_rows.empty() || !m_leaving.empty()) &&
          Now() >= m_runsOut) {
        m_record.Line("instance %s: its hold has run out", m_life.c_str());
        DropAll(m_runsOut);
      }
    }
  }

  bool Handle(int aFd, const Message& aMessage)
  {
    const auto id = aMessage.Header("Pistachioshift-Attempt-Id");
    const auto refuse = [&](int aStatus) {
      return WriteAll(aFd,
                      Answer(aStatus,
                             { { "Pistachioshift-Not-Executed", "1" },
                               { "Pistachioshift-Attempt-Id", id },
                               { "Pistachioshift-Instance-Id", m_settings.id } },
                             ""));
    };
    const auto target = aMessage.Header("Pistachioshift-Target-Instance");
    if (id.empty()) {
      return refuse(400);
    }
    if (!target.empty() && target != m_settings.id) {
      return refuse(421);
    }
    const auto keyText = aMessage.Header("Pistachioshift-Shard-Key");
    const int64_t key = keyText.empty() ? -1 : std::atoll(keyText.c_str());
    size_t run = 0;
    {
      std::unique_lock lock(m_mutex);
      const bool holds =
        !m_settings.sharded ||
        (Now() < m_runsOut &&
         std::any_of(m_rows.begin(), m_rows.end(), [&](const Row& aRow) {
           return aRow.from <= key && key <= aRow.to;
         }));
      if (m_ended) {
        return false;
      }
      if (!holds || static_cast<int>(m_running.size()) >= m_settings.slots) {
        lock.unlock();
        return refuse(holds ? 503 : 421);
      }
      m_running.emplace(++m_lastRun, key);
      run = m_lastRun;
    }
    size_t entry = 0;
    {
      const std::lock_guard lock(m_journal.mutex);
      m_journal.runs.push_back({ m_life, id, key, Now(), -1 });
      entry = m_journal.runs.size() - 1;
    }
    if (m_settings.recordsRuns) {
      m_record.Line("instance %s runs %s key=%lld",
                    m_life.c_str(),
                    id.c_str(),
                    static_cast<long long>(key));
    }
    // Dropped if the connection closes.
    const auto until = Now() + m_settings.workMs();
    bool open = true;
    while (open && !m_ended && Now() < until) {
      pollfd poller{ aFd, POLLRDHUP, 0 };
      poll(&poller, 1, static_cast<int>(std::max<int64_t>(until - Now(), 0)));
      open = (poller.revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0;
    }
    bool outlasted = false;
    {
      const std::lock_guard lock(m_mutex);
      outlasted = m_settings.sharded && Now() >= m_runsOut;
      m_running.erase(run);
    }
    {
      const std::lock_guard lock(m_journal.mutex);
      m_journal.runs[entry].end = Now();
    }
    if (!open || m_ended) {
      return false;
    }
    const int oneOf = m_spoilOneOf;
    if (oneOf > 0 && ++m_answers % oneOf == 0) {
      ++m_spoiled;
      m_record.Line("instance %s spoils the head of its answer to %s",
                    m_life.c_str(),
                    id.c_str());
      std::string text = "HTTP/1.1 200 OK\r\nPistachioshift-Attempt-Id: " + id +
                         "\r\nPistachioshift-Response-Signature: sig-" + id +
                         "\r\nX-Shop: ";
      text.push_back('\0');
      WriteAll(aFd, text + "\r\nContent-Length: 4\r\n\r\nbody");
      return false;
    }
    return WriteAll(aFd,
                    Answer(outlasted ? 500 : 200,
                           { { "Pistachioshift-Attempt-Id", id },
                             { "Pistachioshift-Response-Signature", "sig-" + id } },
                           "body of " + id));
  }

  InstanceSettings m_settings;
  Journal& m_journal;
  Record& m_record;
  const int64_t m_born;
  const std::string m_life;
  std::atomic<bool> m_ended = false;
  std::atomic<int> m_spoilOneOf = 0;
  std::atomic<int> m_answers = 0;
  std::atomic<int> m_spoiled = 0;
  std::atomic<int64_t> m_lastPingAt = 0;
  std::atomic<int> m_longReplies = 0;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::string m_state = "ready";
  bool m_left = false;
  bool m_heldBack = false;
  int64_t m_delayNext = 0;
  int64_t m_sequence = 0;
  unsigned m_tokens = 0;
  std::vector<Row> m_rows;
  std::vector<Leaving> m_leaving;
  std::vector<Json> m_released;
  int64_t m_runsOut = 0;
  std::map<size_t, int64_t> m_running;
  size_t m_lastRun = 0;
  std::unique_ptr<HttpServer> m_server;
  std::thread m_beats;
  std::thread m_expiry;
};

}

#endif
