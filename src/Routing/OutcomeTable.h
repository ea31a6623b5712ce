#ifndef PISTACHIOSHIFT_ROUTING_OUTCOMETABLE_H
#define PISTACHIOSHIFT_ROUTING_OUTCOMETABLE_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "src/Base/Ids.h"

namespace pistachioshift {

/**
 * \brief Number of requests that an outcome table has recorded; never
 * decreases.
 *
 * The daemon of the owner sends its position when a daemon connects, with its
 * heartbeats, to each connection as soon as it has advanced by
 * `kPositionStep`, and before it refuses a request as outdated. The sender of a
 * request attaches the last position that it received before the attempt. A
 * position is valid only for the incarnation of the daemon that sent it.
 */
using TablePosition = StrongId<struct TablePositionTag, uint64_t>;

/** \brief Advance of a position after which other daemons are told; a small
 * part of the default capacity of a table. */
inline constexpr uint64_t kPositionStep = 4096;

/** \brief Response of a finished request, as encoded by the daemon. */
struct CachedResponse
{
  uint16_t status = 0;
  std::string payload;

  bool operator==(const CachedResponse&) const = default;
};

/** \brief `Idempotency-Key` header of a request. */
struct IdempotencyKey
{
  std::string value;
  bool repeat = false;                  ///< The caller has sent it before.
  std::optional<FenceToken> firstGrant; ///< Grant at its first attempt.
};

enum class RequestState : uint8_t
{
  kRunning,
  kDone,
  kNeverSeen, ///< Not run; refused if it arrives later.
  kForgotten, ///< May have run; its record was evicted.
};

/** \brief Name in metric labels and log lines, such as never-seen. */
std::string_view ToString(RequestState aState);

/** \brief Result of OutcomeTable::Query(). */
struct OutcomeQueryResult
{
  RequestState state = RequestState::kForgotten;
  std::optional<CachedResponse> answer; ///< For kDone, if still stored.
};

enum class BeginVerdict : uint8_t
{
  kStarted,   ///< Recorded as running; the caller has to execute it.
  kRunning,   ///< The same request id or idempotency key is running.
  kDone,      ///< Already done; the answer is returned if still stored.
  kPoisoned,  ///< Not run, and refused: reported as never seen before.
  kOutdated,  ///< Not run, and refused: reported as never seen, perhaps.
  kUndecided, ///< May have run before; outcome unknown.
  kFull,      ///< Not run: the table is full of running requests.
};

struct BeginResult
{
  BeginVerdict verdict = BeginVerdict::kStarted;
  std::optional<CachedResponse> answer;
};

struct OutcomeTableSettings
{
  size_t capacity = 65536;                 ///< Requests in the table.
  size_t maxAnswerBytes = 4096;            ///< Largest stored answer.
  size_t maxTotalAnswerBytes = 16U << 20U; ///< Of all stored answers.
};

/**
 * \brief Bounded record of the requests that the daemon of an owner has run.
 *
 * Senders use it to deduplicate retries, and to learn whether a request ran
 * whose answer was lost. Query() returns kNeverSeen only if the request can't
 * have run: a missing id is conclusive only if the position of the sender is
 * not older than any evicted record. Such an id is poisoned, which means that
 * the request is refused if it arrives later; a retry takes a new request id.
 * The table belongs to one incarnation of a daemon. A new incarnation starts
 * with an empty table, and senders reset their position to 0.
 *
 * \sa TablePosition
 */
class OutcomeTable
{
public:
  explicit OutcomeTable(OutcomeTableSettings aSettings = {});

  /** \brief Position to send to the daemons that forward requests to it. */
  TablePosition Position() const { return TablePosition(m_sequence); }

  /**
   * \brief Records a request; the caller may execute it only on kStarted.
   *
   * A sender uses a new id for each attempt and sends it once, so that an id
   * which is not in the table has not run before. It may have been reported as
   * never seen, though, and its record evicted since: then it must not run any
   * more. Without a record, only the sender's position tells; kOutdated says
   * that it does not. The sender then tries again under a new id and the
   * position that it is told.
   * \param aKnown position that the sender had before its attempt.
   */
  BeginResult Begin(const RequestId& aId, TablePosition aKnown);

  /**
   * \brief Same, for a request with an idempotency key under a grant.
   *
   * Returns kUndecided for a repeat that may have run under an earlier grant,
   * or under this grant with its record evicted since.
   */
  BeginResult Begin(const RequestId& aId,
                    TablePosition aKnown,
                    const FenceToken& aGrant,
                    const IdempotencyKey& aKey);

  /** \brief Records the end of a started request, and its answer if small. */
  void Finish(const RequestId& aId, std::optional<CachedResponse> aAnswer);

  /** \brief Records that a started request certainly did not run. */
  void Withdraw(const RequestId& aId);

  /** \brief State of a request; the result kNeverSeen poisons its id. */
  OutcomeQueryResult Query(const RequestId& aId, TablePosition aKnown);

  /** \brief Removes the idempotency keys of a grant that has ended. */
  void EndGrant(const FenceToken& aGrant);

  size_t Size() const { return m_entries.size(); }
  size_t AnswerBytes() const { return m_answerBytes; }

private:
  enum class State : uint8_t
  {
    kRunning,
    kDone,
    kPoisoned,
  };

  struct KeyName
  {
    FenceToken grant;
    std::string value;

    auto operator<=>(const KeyName&) const = default;
  };

  struct Entry
  {
    State state = State::kRunning;
    uint64_t sequence = 0;
    std::optional<CachedResponse> answer;
    std::optional<KeyName> key;
  };

  using Entries = std::unordered_map<RequestId, Entry>;

  std::optional<BeginResult> FindKey(const KeyName& aName,
                                     const IdempotencyKey& aKey) const;
  std::optional<BeginResult> FindId(const RequestId& aId,
                                    TablePosition aKnown) const;
  bool EvictForInsert();
  Entry& Insert(const RequestId& aId, State aState);
  void Close(const RequestId& aId, Entry& aEntry, State aState);
  void EvictOldest();
  void EvictKey(const Entry& aEntry);
  void EvictAnswers();
  void EvictOldestAnswer();

  OutcomeTableSettings m_settings;
  Entries m_entries;
  std::deque<RequestId> m_finished;   ///< Done and poisoned, oldest first.
  std::deque<RequestId> m_withAnswer; ///< With an answer, oldest first.
  std::map<KeyName, RequestId> m_keys;
  std::map<FenceToken, uint64_t> m_evictedKeys; ///< Number for each grant.
  uint64_t m_sequence = 0;
  uint64_t m_evictedThrough = 0; ///< Highest evicted sequence number.
  size_t m_answerBytes = 0;
};

}

#endif
