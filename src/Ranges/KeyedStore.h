#ifndef PISTACHIOSHIFT_RANGES_KEYEDSTORE_H
#define PISTACHIOSHIFT_RANGES_KEYEDSTORE_H

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/Base/Clock.h"

namespace pistachioshift {

/** \brief A record of a topic that keeps the newest record of each key. */
struct StoreEntry
{
  std::string key;
  std::optional<std::string> value; ///< None: the key was dropped.
  int64_t offset = 0;

  bool operator==(const StoreEntry&) const = default;
};

/** \brief Records in the order of their offsets. */
struct StoreRecords
{
  std::vector<StoreEntry> entries;
  int64_t next = 0; ///< Offset to read from next.
  int64_t end = 0;  ///< Offset that the next record will get.
};

/** \brief Why a read has no records. */
enum class StoreFailure : uint8_t
{
  kUnavailable, ///< No answer, or the store refused.
  kExpired,     ///< The offset is no longer kept; read the newest records.
};

using StoreReadResult = std::variant<StoreRecords, StoreFailure>;

/** \brief Append only if the topic ends at this offset. */
struct ExpectedEnd
{
  int64_t offset = 0;
};

/** \brief Append as the next record of a writer; late ones are fenced off. */
struct WriterPosition
{
  std::string writer;
  int64_t epoch = 0;
  int64_t sequence = 0;
};

using AppendCondition = std::variant<ExpectedEnd, WriterPosition>;

enum class AppendVerdict : uint8_t
{
  kAccepted,
  kConflict,         ///< Not written: the topic's end is elsewhere.
  kFenced,           ///< Not written: a newer epoch of this writer exists.
  kSequenceMismatch, ///< Not written: another sequence number is next.
  kRefused,          ///< Not written, and it won't be.
  kUnknown,          ///< May have been written, or may still be.
};

/** \brief Name of a verdict in log lines. */
constexpr const char*
ToString(AppendVerdict aVerdict)
{
  switch (aVerdict) {
    case AppendVerdict::kAccepted:
      return "accepted";
    case AppendVerdict::kConflict:
      return "conflict";
    case AppendVerdict::kFenced:
      return "fenced";
    case AppendVerdict::kSequenceMismatch:
      return "sequence";
    case AppendVerdict::kRefused:
      return "refused";
    case AppendVerdict::kUnknown:
      return "unknown";
  }
  return "unknown";
}

struct AppendReply
{
  AppendVerdict verdict = AppendVerdict::kUnknown;
  int64_t end = 0;      ///< End of the topic, for kAccepted and kConflict.
  int64_t sequence = 0; ///< The number that is next, for kSequenceMismatch.
};

/**
 * \brief Durable topics of keyed records.
 *
 * Callbacks run from the event loop, once each, and not at all after the
 * store's destruction.
 */
template<class Store>
concept KeyedStore = requires(Store& aStore,
                              const std::string& aTopic,
                              int64_t aFrom,
                              Duration aWait,
                              std::vector<StoreEntry> aEntries,
                              AppendCondition aCondition,
                              std::function<void(StoreReadResult)> aOnRead,
                              std::function<void(AppendReply)> aOnAppend)
{
  aStore.Newest(aTopic, aOnRead);
  aStore.Read(aTopic, aFrom, aWait, aOnRead);
  aStore.Append(aTopic, aEntries, aCondition, aOnAppend);
};

}

#endif
