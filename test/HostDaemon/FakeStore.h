#ifndef PISTACHIOSHIFT_TEST_HOSTDAEMON_FAKESTORE_H
#define PISTACHIOSHIFT_TEST_HOSTDAEMON_FAKESTORE_H

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <event2/event.h>

#include "Pistachioshift/Ranges"
#include "standin/store/ProducerTable.h"

namespace pistachioshift::test {

/** One topic of keyed records, in memory; shared by several FakeStores. */
class FakeTopic
{
public:
  AppendReply Append(std::vector<StoreEntry> aEntries,
                     const AppendCondition& aCondition)
  {
    AppendReply reply;
    reply.era = m_era;
    reply.end = End();
    if (const auto* end = std::get_if<ExpectedEnd>(&aCondition)) {
      if (end->offset != End()) {
        reply.verdict = AppendVerdict::kConflict;
        return reply;
      }
    } else {
      const auto& writer = std::get<WriterPosition>(aCondition);
      const auto check =
        m_producers.Check(writer.writer, writer.epoch, writer.sequence);
      switch (check.verdict) {
        case standin::ProducerVerdict::kFenced:
          reply.verdict = AppendVerdict::kFenced;
          return reply;
        case standin::ProducerVerdict::kSequence:
          reply.verdict = AppendVerdict::kSequenceMismatch;
          reply.sequence = check.expected;
          return reply;
        case standin::ProducerVerdict::kRepeat:
          reply.verdict = AppendVerdict::kAccepted;
          reply.end = check.first.end;
          return reply;
        case standin::ProducerVerdict::kAppend:
          break;
      }
      const auto size = static_cast<int64_t>(aEntries.size());
      m_producers.Record(
        writer.writer, writer.epoch, writer.sequence, { End(), End() + size });
    }
    for (auto& entry : aEntries) {
      entry.offset = End();
      m_entries.push_back(std::move(entry));
    }
    reply.verdict = AppendVerdict::kAccepted;
    reply.end = End();
    return reply;
  }

  StoreRecords From(int64_t aOffset) const
  {
    StoreRecords records;
    records.entries.assign(m_entries.begin() + aOffset, m_entries.end());
    records.next = End();
    records.end = End();
    records.era = m_era;
    return records;
  }

  int64_t End() const { return static_cast<int64_t>(m_entries.size()); }
  StorePosition Position() const { return { m_era, End() }; }

  /** Loses what was appended since the copy was made; a new era begins. */
  void ReturnTo(const FakeTopic& aCopy)
  {
    const StoreEra next(m_era.Value() + 1);
    *this = aCopy;
    m_era = next;
  }

private:
  StoreEra m_era{ 1 };
  std::vector<StoreEntry> m_entries;
  standin::ProducerTable m_producers;
};

/** One host's connection to the topic; can simulate failures. */
class FakeStore
{
public:
  using OnRead = std::function<void(StoreReadResult)>;
  using OnAppend = std::function<void(AppendReply)>;

  FakeStore(event_base* aBase, FakeTopic& aTopic)
    : m_base(aBase)
    , m_topic(aTopic)
  {
  }

  void Newest(const std::string&, OnRead aCallback)
  {
    Schedule([this, callback = std::move(aCallback)] {
      ++reads;
      if (down) {
        callback(StoreFailure::kUnavailable);
      } else {
        callback(m_topic.From(0));
      }
    });
  }

  /** Waits for `aWait` if there are no records to read yet. */
  void Read(const std::string&, int64_t aFrom, Duration aWait, OnRead aCallback)
  {
    ++reads;
    const bool waits =
      !down && m_topic.End() <= aFrom && aFrom >= firstRetained;
    Schedule(
      [this, aFrom, callback = std::move(aCallback)] {
        if (down) {
          callback(StoreFailure::kUnavailable);
        } else if (aFrom < firstRetained || aFrom > m_topic.End()) {
          callback(StoreFailure::kExpired);
        } else {
          callback(m_topic.From(aFrom));
        }
      },
      waits ? aWait : Duration{});
  }

  void Append(const std::string&,
              const std::vector<StoreEntry>& aEntries,
              const AppendCondition& aCondition,
              OnAppend aCallback)
  {
    if (captureAppends) {
      captured.emplace_back(aEntries, aCondition);
      return;
    }
    if (lateAppends > 0) {
      --lateAppends;
      late.emplace_back(aEntries, aCondition);
      Schedule([callback = std::move(aCallback)] { callback(AppendReply{}); });
      return;
    }
    Schedule([this, aEntries, aCondition, callback = std::move(aCallback)] {
      if (down) {
        callback(AppendReply{ AppendVerdict::kRefused, 0, 0 });
        return;
      }
      const auto reply = m_topic.Append(aEntries, aCondition);
      if (lostReplies > 0) {
        --lostReplies;
        callback(AppendReply{ AppendVerdict::kUnknown, 0, 0 });
        return;
      }
      callback(reply);
    });
  }

  /** Does the appends that the store has not answered, if their conditions
   * still hold. */
  void RunLateAppends()
  {
    for (const auto& [entries, condition] : std::exchange(late, {})) {
      m_topic.Append(entries, condition);
    }
  }

  using PendingAppend = std::pair<std::vector<StoreEntry>, AppendCondition>;

  bool down = false;
  int lateAppends = 0; ///< Next appends that wait for RunLateAppends().
  std::vector<PendingAppend> late;
  int lostReplies = 0;         ///< Next appends whose reply is lost.
  bool captureAppends = false; ///< Instead of appending.
  std::vector<PendingAppend> captured;
  int reads = 0;
  int64_t firstRetained = 0; ///< Reads from earlier offsets have expired.

private:
  void Schedule(std::function<void()> aAction, Duration aDelay = {})
  {
    auto* action = new std::function<void()>(std::move(aAction));
    const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(aDelay).count();
    const timeval delay{ micros / 1000000,
                         static_cast<suseconds_t>(micros % 1000000) };
    event_base_once(
      m_base,
      -1,
      EV_TIMEOUT,
      [](evutil_socket_t, short, void* aSelf) {
        const std::unique_ptr<std::function<void()>> run(
          static_cast<std::function<void()>*>(aSelf));
        (*run)();
      },
      action,
      &delay);
  }

  event_base* m_base;
  FakeTopic& m_topic;
};

}

#endif
