#ifndef PISTACHIOSHIFT_ROUTING_OUTCOMETABLE_H
#define PISTACHIOSHIFT_ROUTING_OUTCOMETABLE_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "src/Base/Ids.h"

namespace pistachioshift {

/**
 * \brief Count of what an outcome table has taken in; grows only.
 *
 * The owner's daemon sends its position on connect and with its heartbeats and
 * answers. A sender attaches the last one it had received before it first sent
 * the request. It is valid only for the incarnation that gave it.
 */
using TablePosition = StrongId<struct TablePositionTag, uint64_t>;

/** \brief Answer of a finished request, as the daemon encoded it. */
struct CachedResponse
{
  uint16_t status = 0;
  std::string payload;

  bool operator==(const CachedResponse&) const = default;
};

/** \brief `Idempotency-Key` of a caller. */
struct IdempotencyKey
{
  std::string value;
  bool repeat = false; ///< The caller says that it sent it before.
  std::optional<FenceToken> firstGrant; ///< Grant of its first attempt.
};

enum class RequestState : uint8_t
{
  kRunning,
  kDone,
  kNeverSeen, ///< Not run; from now on refused.
  kForgotten, ///< May have run; the memory is gone.
};

/** \brief Answer to the question what became of a request. */
struct OutcomeQueryResult
{
  RequestState state = RequestState::kForgotten;
  std::optional<CachedResponse> answer; ///< Only for kDone, when it was kept.
};

enum class BeginVerdict : uint8_t
{
  kStarted,
  kRunning,   ///< The same request id or idempotency key is running.
  kDone,      ///< It is done; the answer is given where kept.
  kPoisoned,  ///< Reported as never seen before; not run.
  kUndecided, ///< May have run before; outcome unknown.
  kFull,      ///< All room is taken by running requests; not run.
};

struct BeginResult
{
  BeginVerdict verdict = BeginVerdict::kStarted;
  std::optional<CachedResponse> answer;
};

struct OutcomeTableSettings
{
  size_t capacity = 65536;                 ///< Requests remembered.
  size_t maxAnswerBytes = 4096;            ///< Largest answer kept.
  size_t maxTotalAnswerBytes = 16U << 20U; ///< All answers kept together.
};

/**
 * \brief Memory of the owner's daemon of which requests ran.
 *
 * Bounded. It reports kNeverSeen only when the request can't have run: an id
 * that isn't found is conclusive only if the sender's position is not older
 * than anything the table has dropped. A retry after kNeverSeen takes a new
 * request id, since the old one is poisoned. The table belongs to one
 * incarnation of a daemon; a new one starts empty, and senders reset to
 * position 0 of it.
 *
 * \sa TablePosition
 */
class OutcomeTable
{
public:
  explicit OutcomeTable(OutcomeTableSettings aSettings = {});

  /** \brief Position to send to the daemons that forward requests here. */
  TablePosition Position() const { return TablePosition(m_sequence); }

  /**
   * \brief Takes a request in; it may be passed on only on kStarted.
   * \param aKnown position that the sender held before its first attempt.
   */
  BeginResult Begin(const RequestId& aId, TablePosition aKnown);

  /**
   * \brief Same, for a request with an idempotency key under a grant.
   *
   * A repeat that an earlier grant, or a part of this grant's memory that was
   * dropped, may have run is kUndecided.
   */
  BeginResult Begin(const RequestId& aId,
                    TablePosition aKnown,
                    const FenceToken& aGrant,
                    const IdempotencyKey& aKey);

  /** \brief Records the end of a started request and its answer, if small. */
  void Finish(const RequestId& aId, std::optional<CachedResponse> aAnswer);

  /** \brief Records that a started request definitely did not run. */
  void Withdraw(const RequestId& aId);

  /** \brief What became of a request; kNeverSeen poisons its id. */
  OutcomeQueryResult Query(const RequestId& aId, TablePosition aKnown);

  /** \brief Drops the idempotency keys of a grant that has ended. */
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
  bool MakeRoom();
  Entry& Insert(const RequestId& aId, State aState);
  void Close(const RequestId& aId, Entry& aEntry, State aState);
  void DropOldest();
  void DropKey(const Entry& aEntry);
  void TrimAnswers();
  void DropOldestAnswer();

  OutcomeTableSettings m_settings;
  Entries m_entries;
  std::deque<RequestId> m_closed;   ///< Done and poisoned, oldest first.
  std::deque<RequestId> m_answered; ///< With an answer, oldest first.
  std::map<KeyName, RequestId> m_keys;
  std::map<FenceToken, uint64_t> m_keysDropped;
  uint64_t m_sequence = 0;
  uint64_t m_droppedThrough = 0;
  size_t m_answerBytes = 0;
};

}

#endif
