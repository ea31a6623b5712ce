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
#include "src/Base/Ids.h"

namespace pistachioshift {

/**
 * \brief Life of a store. It rises each time the store comes back from an older
 * copy of itself, without the records that followed the copy. 0: not stated.
 */
using StoreEra = StrongId<struct StoreEraTag, int64_t>;

/**
 * \brief Position in a topic. Offsets are given out again in a later era, so a
 * position of a later era is further, whatever its offset.
 */
struct StorePosition
{
  StoreEra era;
  int64_t offset = 0;

  auto operator<=>(const StorePosition&) const = default;
};

/** \brief Record of a compacted topic, which keeps the newest one of each key.
 */
struct StoreEntry
{
  std::string key;
  std::optional<std::string> value; ///< nullopt: the key was deleted.
  int64_t offset = 0;

  bool operator==(const StoreEntry&) const = default;
};

/** \brief Result of a read; records are in the order of their offsets. */
struct StoreRecords
{
  std::vector<StoreEntry> entries;
  int64_t next = 0; ///< Offset at which the next read starts.
  int64_t end = 0;  ///< Offset of the next record to be appended.
  StoreEra era;     ///< Era in which the read was answered.
  /// The records are those in force at `next`, not the ones after an offset.
  bool snapshot = false;

  StorePosition Next() const { return { era, next }; }
};

/** \brief Why a read failed. */
enum class StoreFailure : uint8_t
{
  kUnavailable, ///< The store did not answer, or refused.
  kExpired,     ///< The offset is no longer retained; use `Newest`.
};

using StoreReadResult = std::variant<StoreRecords, StoreFailure>;

/**
 * \brief Result of a read from a position of an era. Records of a later era do
 * not follow that position: it has expired. Those of an earlier era are
 * outdated.
 */
inline StoreReadResult
ResultInEra(StoreReadResult aResult, StoreEra aEra)
{
  const auto* records = std::get_if<StoreRecords>(&aResult);
  if (records == nullptr || records->era == aEra) {
    return aResult;
  }
  return records->era > aEra ? StoreFailure::kExpired
                             : StoreFailure::kUnavailable;
}

/** \brief Optimistic lock: append only if the topic ends at this offset. */
struct ExpectedEnd
{
  int64_t offset = 0;
};

/**
 * \brief Append only as the next record of a writer.
 *
 * An append under an epoch that is older than the writer's newest is fenced.
 */
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
  kConflict,         ///< Not written: the topic ends at another offset.
  kFenced,           ///< Not written: the writer has a newer epoch.
  kSequenceMismatch, ///< Not written: another sequence number is expected.
  kRefused,          ///< Not written, and will not be.
  kUnknown,          ///< May have been written, or may be later.
};

/** \brief Name of a verdict, as it is logged. */
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
  int64_t sequence = 0; ///< Expected number, for kSequenceMismatch.
  StoreEra era;         ///< Era in which the append was answered.
};

/**
 * \brief Asynchronous client of durable, compacted topics.
 *
 * `Newest` reads the newest record of each key. `Read` reads from an offset on
 * and waits up to `aWait` for a record. `Append` writes all entries or none.
 * Each callback runs once from the event loop, and never after the store was
 * destroyed.
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
