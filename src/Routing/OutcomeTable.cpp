#include "src/Routing/OutcomeTable.h"

#include <algorithm>

namespace pistachioshift {

std::string_view
ToString(RequestState aState)
{
  switch (aState) {
    case RequestState::kRunning:
      return "running";
    case RequestState::kDone:
      return "done";
    case RequestState::kNeverSeen:
      return "never-seen";
    case RequestState::kForgotten:
      return "forgotten";
  }
  return "forgotten";
}

OutcomeTable::OutcomeTable(OutcomeTableSettings aSettings)
  : m_settings(aSettings)
{
}

BeginResult
OutcomeTable::Begin(const RequestId& aId, TablePosition aKnown)
{
  if (auto found = FindId(aId, aKnown)) {
    return *found;
  }
  if (!EvictForInsert()) {
    return { BeginVerdict::kFull, std::nullopt };
  }
  Insert(aId, State::kRunning);
  return { BeginVerdict::kStarted, std::nullopt };
}

BeginResult
OutcomeTable::Begin(const RequestId& aId,
                    TablePosition aKnown,
                    const FenceToken& aGrant,
                    const IdempotencyKey& aKey)
{
  KeyName name{ aGrant, aKey.value };
  if (auto found = FindKey(name, aKey)) {
    return *found;
  }
  auto result = Begin(aId, aKnown);
  if (result.verdict == BeginVerdict::kStarted) {
    m_entries.at(aId).key = name;
    m_keys.emplace(std::move(name), aId);
  }
  return result;
}

void
OutcomeTable::Finish(const RequestId& aId,
                     std::optional<CachedResponse> aAnswer)
{
  const auto found = m_entries.find(aId);
  if (found == m_entries.end() || found->second.state != State::kRunning) {
    return;
  }
  auto& entry = found->second;
  if (aAnswer && aAnswer->payload.size() <= m_settings.maxAnswerBytes) {
    m_answerBytes += aAnswer->payload.size();
    entry.answer = std::move(aAnswer);
    m_withAnswer.push_back(aId);
  }
  Close(aId, entry, State::kDone);
  EvictAnswers();
}

void
OutcomeTable::Withdraw(const RequestId& aId)
{
  const auto found = m_entries.find(aId);
  if (found == m_entries.end() || found->second.state != State::kRunning) {
    return;
  }
  auto& entry = found->second;
  if (entry.key) {
    m_keys.erase(*entry.key);
    entry.key.reset();
  }
  // The id remains refused, since its sender was told that it did not run.
  Close(aId, entry, State::kPoisoned);
}

OutcomeQueryResult
OutcomeTable::Query(const RequestId& aId, TablePosition aKnown)
{
  const auto found = m_entries.find(aId);
  if (found != m_entries.end()) {
    const auto& entry = found->second;
    switch (entry.state) {
      case State::kRunning:
        return { RequestState::kRunning, std::nullopt };
      case State::kDone:
        return { RequestState::kDone, entry.answer };
      case State::kPoisoned:
        return { RequestState::kNeverSeen, std::nullopt };
    }
  }
  if (aKnown.Value() < m_evictedThrough || !EvictForInsert()) {
    return { RequestState::kForgotten, std::nullopt };
  }
  Close(aId, Insert(aId, State::kPoisoned), State::kPoisoned);
  return { RequestState::kNeverSeen, std::nullopt };
}

void
OutcomeTable::EndGrant(const FenceToken& aGrant)
{
  auto key = m_keys.lower_bound(KeyName{ aGrant, "" });
  while (key != m_keys.end() && key->first.grant == aGrant) {
    m_entries.at(key->second).key.reset();
    key = m_keys.erase(key);
  }
  m_evictedKeys.erase(aGrant);
}

std::optional<BeginResult>
OutcomeTable::FindKey(const KeyName& aName, const IdempotencyKey& aKey) const
{
  const auto found = m_keys.find(aName);
  if (found != m_keys.end()) {
    const auto& entry = m_entries.at(found->second);
    if (entry.state == State::kRunning) {
      return BeginResult{ BeginVerdict::kRunning, std::nullopt };
    }
    return BeginResult{ BeginVerdict::kDone, entry.answer };
  }
  if (!aKey.repeat) {
    return std::nullopt;
  }
  const bool complete =
    aKey.firstGrant == aName.grant && !m_evictedKeys.contains(aName.grant);
  if (complete) {
    return std::nullopt;
  }
  return BeginResult{ BeginVerdict::kUndecided, std::nullopt };
}

std::optional<BeginResult>
OutcomeTable::FindId(const RequestId& aId, TablePosition aKnown) const
{
  const auto found = m_entries.find(aId);
  if (found != m_entries.end()) {
    const auto& entry = found->second;
    switch (entry.state) {
      case State::kRunning:
        return BeginResult{ BeginVerdict::kRunning, std::nullopt };
      case State::kDone:
        return BeginResult{ BeginVerdict::kDone, entry.answer };
      case State::kPoisoned:
        return BeginResult{ BeginVerdict::kPoisoned, std::nullopt };
    }
  }
  if (aKnown.Value() < m_evictedThrough) {
    return BeginResult{ BeginVerdict::kOutdated, std::nullopt };
  }
  return std::nullopt;
}

bool
OutcomeTable::EvictForInsert()
{
  while (m_entries.size() >= m_settings.capacity) {
    if (m_finished.empty()) {
      return false;
    }
    EvictOldest();
  }
  return true;
}

OutcomeTable::Entry&
OutcomeTable::Insert(const RequestId& aId, State aState)
{
  auto& entry = m_entries[aId];
  entry.state = aState;
  entry.sequence = ++m_sequence;
  return entry;
}

void
OutcomeTable::Close(const RequestId& aId, Entry& aEntry, State aState)
{
  aEntry.state = aState;
  m_finished.push_back(aId);
}

void
OutcomeTable::EvictOldest()
{
  const auto found = m_entries.find(m_finished.front());
  auto& entry = found->second;
  m_evictedThrough = std::max(m_evictedThrough, entry.sequence);
  if (entry.answer) {
    EvictOldestAnswer();
  }
  EvictKey(entry);
  m_entries.erase(found);
  m_finished.pop_front();
}

void
OutcomeTable::EvictKey(const Entry& aEntry)
{
  if (!aEntry.key) {
    return;
  }
  ++m_evictedKeys[aEntry.key->grant];
  m_keys.erase(*aEntry.key);
}

void
OutcomeTable::EvictAnswers()
{
  while (m_answerBytes > m_settings.maxTotalAnswerBytes) {
    EvictOldestAnswer();
  }
}

void
OutcomeTable::EvictOldestAnswer()
{
  auto& entry = m_entries.at(m_withAnswer.front());
  m_withAnswer.pop_front();
  m_answerBytes -= entry.answer->payload.size();
  entry.answer.reset();
}

}
