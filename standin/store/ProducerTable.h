#ifndef PISTACHIOSHIFT_STANDIN_STORE_PRODUCERTABLE_H
#define PISTACHIOSHIFT_STANDIN_STORE_PRODUCERTABLE_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace pistachioshift::standin {

/** Offsets that the response to an append states. */
struct AppendOffsets
{
  int64_t first = 0;
  int64_t end = 0;

  bool operator==(const AppendOffsets&) const = default;
};

enum class ProducerVerdict : uint8_t
{
  kAppend,
  kRepeat,   ///< Appended before; receives the first response again.
  kFenced,   ///< The epoch is lower than one already seen.
  kSequence, ///< Another sequence number must follow.
};

struct ProducerCheck
{
  ProducerVerdict verdict = ProducerVerdict::kAppend;
  AppendOffsets first;  ///< For kRepeat.
  int64_t expected = 0; ///< For kSequence.
};

/**
 * Epochs and sequence numbers of the producers of one partition. A repeat is
 * recognized by its number alone; the store does not compare the records.
 */
class ProducerTable
{
public:
  /** Decides on an append of at least one record. */
  ProducerCheck Check(const std::string& aProducer,
                      int64_t aEpoch,
                      int64_t aSequence) const
  {
    const auto found = m_producers.find(aProducer);
    if (found == m_producers.end() || aEpoch > found->second.epoch) {
      return {};
    }
    const auto& known = found->second;
    if (aEpoch < known.epoch) {
      return { ProducerVerdict::kFenced };
    }
    for (const auto& append : known.latest) {
      if (append.sequence == aSequence) {
        return { ProducerVerdict::kRepeat, append.offsets };
      }
    }
    if (known.next && *known.next != aSequence) {
      return { ProducerVerdict::kSequence, {}, *known.next };
    }
    return {};
  }

  /** Records an append for which Check returned kAppend. */
  void Record(const std::string& aProducer,
              int64_t aEpoch,
              int64_t aSequence,
              const AppendOffsets& aOffsets)
  {
    SetEpoch(aProducer, aEpoch);
    auto& known = m_producers[aProducer];
    known.next = aSequence + 1;
    known.latest.push_back(Append{ aSequence, aOffsets });
    if (known.latest.size() > kRememberedAppends) {
      known.latest.pop_front();
    }
  }

  /** Sets the epoch, as an append without records does. Returns false if a
   * higher one has been seen. */
  bool SetEpoch(const std::string& aProducer, int64_t aEpoch)
  {
    auto& known = m_producers[aProducer];
    if (aEpoch > known.epoch) {
      known = Producer{ aEpoch, std::nullopt, {} };
    }
    return aEpoch == known.epoch;
  }

private:
  static constexpr size_t kRememberedAppends = 5;

  struct Append
  {
    int64_t sequence = 0;
    AppendOffsets offsets;
  };

  struct Producer
  {
    int64_t epoch = INT64_MIN;
    std::optional<int64_t> next; ///< nullopt: any number may follow.
    std::deque<Append> latest;
  };

  std::map<std::string, Producer> m_producers;
};

}

#endif
