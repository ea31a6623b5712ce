#include <algorithm>

#include "test/Ownership/NodeSupport.h"
#include "test/Ownership/TraceSupport.h"

// Requests and safety properties of Mesh.

namespace pistachioshift {

using std::chrono::milliseconds;

void
Mesh::StartRequests(size_t aSlot)
{
  for (const auto& key : m_keys) {
    if (DrawUniform() > 0.3 || !Serves(aSlot, key)) {
      continue;
    }
    for (const auto& other : m_requests) {
      const bool same =
        other.slot == aSlot && other.incarnation == m_slots[aSlot].incarnation;
      const bool runs = other.end > m_now && other.key == key;
      if (runs && !same && key.service == kStamps) {
        RecordViolation(fmt::format(
          "slots {} and {} both run requests for unfenced key {}/{}",
          aSlot,
          other.slot,
          key.range.Value(),
          key.name));
      }
    }
    const auto end = m_now + DrawBetween(milliseconds(1), kLongestRequest);
    m_requests.push_back(Request{
      aSlot, m_slots[aSlot].incarnation, key, Resolve(aSlot, key), end });
    const auto incarnation = m_slots[aSlot].incarnation;
    Schedule(end - m_now, [this, aSlot, incarnation] {
      if (m_slots[aSlot].incarnation == incarnation && IsRunning(aSlot)) {
        EndRequests(aSlot);
      }
    });
  }
}

void
Mesh::EndRequests(size_t aSlot)
{
  std::erase_if(m_requests, [this](const Request& aRequest) {
    return aRequest.end <= m_now;
  });
  auto& slot = m_slots[aSlot];
  const auto stopping = slot.stopping;
  for (const auto& key : stopping) {
    const bool busy = std::ranges::any_of(m_requests, [&](auto& aRequest) {
      const bool own =
        aRequest.slot == aSlot && aRequest.incarnation == slot.incarnation;
      // The request started under the range, before the key was pinned.
      const bool pinned =
        !key.pinnedKey.empty() && aRequest.key.service == key.service &&
        aRequest.key.range == key.range && aRequest.key.name == key.pinnedKey;
      return own && (aRequest.entry == key || pinned);
    });
    if (!busy) {
      slot.stopping.erase(key);
      Trace(fmt::format("slot {} releases {}", aSlot, Describe(key)));
      slot.node->OnEntryIdle(key, ClockOf(aSlot));
      ExecuteEffects(aSlot);
    }
  }
}

void
Mesh::Trace(const std::string& aWhat) const
{
  if (m_options.trace) {
    fmt::print("{:5} {}\n", m_now / milliseconds(1), aWhat);
  }
}

void
Mesh::RecordViolation(const std::string& aWhat)
{
  if (!m_violation) {
    m_violation = fmt::format(
      "{} at {} ms, seed {}", aWhat, m_now / milliseconds(1), m_options.seed);
  }
}

void
Mesh::Check(size_t aSlot)
{
  if (!m_slots[aSlot].node) {
    return;
  }
  for (const auto& key : m_keys) {
    const auto token = Serves(aSlot, key);
    if (!token) {
      continue;
    }
    for (const auto other : Servers(key)) {
      if (other != aSlot) {
        RecordViolation(fmt::format("slots {} and {} may both serve {}/{}/{}",
                                    aSlot,
                                    other,
                                    key.service.Value(),
                                    key.range.Value(),
                                    key.name));
      }
    }
    const auto last = m_lastServed.find(key);
    if (last != m_lastServed.end() && last->second.second != aSlot &&
        *token <= last->second.first) {
      RecordViolation("fence token of a later holder is not higher");
    }
    m_lastServed[key] = { *token, aSlot };
  }
}

void
Mesh::CheckLog(const OwnershipRecord& /*aRecord*/)
{
  for (const auto& [key, held] : m_lastHeld) {
    const auto* chain = m_view.FindChain(key);
    if (chain == nullptr) {
      // Unpinned: the newer entry of its range replaces it.
      chain = m_view.FindChain({ key.service, key.range, {} });
    }
    bool kept = false;
    for (const auto& entry :
         chain == nullptr ? std::vector<Entry>() : chain->entries) {
      const auto rank = entry.held.value_or(Rank(kMaxSuccessors));
      kept |= FenceToken{ entry.offset, rank } >= held;
    }
    if (!kept) {
      RecordViolation("log lost an entry recorded as held");
    }
  }
  for (const auto& [key, chain] : m_view.Entries()) {
    for (const auto& entry : chain.entries) {
      if (entry.held) {
        m_lastHeld[key] = FenceToken{ entry.offset, *entry.held };
      }
    }
  }
}

}
