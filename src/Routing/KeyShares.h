#ifndef PISTACHIOSHIFT_ROUTING_KEYSHARES_H
#define PISTACHIOSHIFT_ROUTING_KEYSHARES_H

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace pistachioshift {

/**
 * \brief Requests per key that are queued or running at a backend server.
 *
 * Holds one entry for each key with such a request. Requests without a key are
 * not counted.
 */
class KeyShares
{
public:
  void Add(std::optional<uint32_t> aKey);
  void Remove(std::optional<uint32_t> aKey);

  /**
   * \brief Whether another request of a key would exceed its fair share.
   *
   * The fair share is the mean of the keys that have requests, but at least
   * half of the slots: with few requests of each key, chance decides which of
   * them exceeds the mean.
   */
  bool WouldExceed(std::optional<uint32_t> aKey, uint32_t aSlots) const;

  size_t Keys() const { return m_counts.size(); }

private:
  std::unordered_map<uint32_t, uint32_t> m_counts;
  uint32_t m_total = 0;
};

}

#endif
