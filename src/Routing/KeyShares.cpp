#include "src/Routing/KeyShares.h"

#include <algorithm>

namespace pistachioshift {

void
KeyShares::Add(std::optional<uint32_t> aKey)
{
  if (aKey) {
    ++m_counts[*aKey];
    ++m_total;
  }
}

void
KeyShares::Remove(std::optional<uint32_t> aKey)
{
  const auto found = aKey ? m_counts.find(*aKey) : m_counts.end();
  if (found == m_counts.end()) {
    return;
  }
  --m_total;
  if (--found->second == 0) {
    m_counts.erase(found);
  }
}

bool
KeyShares::WouldExceed(std::optional<uint32_t> aKey, uint32_t aSlots) const
{
  const auto found = aKey ? m_counts.find(*aKey) : m_counts.end();
  if (found == m_counts.end() || m_counts.size() < 2) {
    return false;
  }
  const auto fair = std::max(static_cast<double>(m_total) /
                               static_cast<double>(m_counts.size()),
                             aSlots / 2.0);
  return found->second + 1.0 > fair;
}

}
