#include "src/Document/DocumentState.h"

#include <algorithm>

#include <fmt/format.h>

#include "src/Document/EditCheck.h"
#include "src/Document/Parser.h"

namespace pistachioshift {

namespace {

// Copies and edits that stay too old for ever need no memory of their own.
bool
IsRemembered(EditResult aResult)
{
  return aResult != EditResult::kAlreadyApplied &&
         aResult != EditResult::kDuplicate && aResult != EditResult::kTooOld;
}

SectionState&
FindOrAdd(std::vector<SectionState>& aSections, const SectionName& aName)
{
  const auto place =
    std::lower_bound(aSections.begin(),
                     aSections.end(),
                     aName,
                     [](const SectionState& aState, const SectionName& aKey) {
                       return aState.name < aKey;
                     });
  if (place != aSections.end() && place->name == aName) {
    return *place;
  }
  return *aSections.insert(place, SectionState{ aName, {}, {} });
}

}

DocumentState
DocumentState::FromSnapshot(const DocumentSnapshot& aSnapshot)
{
  DocumentState state;
  state.m_data = aSnapshot;
  try {
    state.Rebuild();
  } catch (const ParseError& error) {
    throw DocumentError(fmt::format("checkpoint through offset {}: {}",
                                    aSnapshot.through.Value(),
                                    error.what()));
  }
  return state;
}

EditVerdict
DocumentState::Check(Offset aOffset, const DocumentEdit& aEdit) const
{
  const internal::CheckContext context{ m_data, m_teams, m_services };
  const auto refusal = internal::CheckEdit(context, aOffset, aEdit);
  EditVerdict verdict;
  verdict.section = aEdit.section;
  verdict.offset = aOffset;
  if (refusal) {
    verdict.result = refusal->result;
    verdict.inForce = VersionOf(aEdit.section);
    verdict.position = refusal->position;
    verdict.message = refusal->message;
    return verdict;
  }
  verdict.result = EditResult::kAccepted;
  verdict.inForce = aOffset;
  verdict.message = fmt::format("section '{}': version {} is in force",
                                aEdit.section.Value(),
                                aOffset.Value());
  return verdict;
}

EditVerdict
DocumentState::Apply(Offset aOffset, const DocumentEdit& aEdit)
{
  auto verdict = Check(aOffset, aEdit);
  if (verdict.IsAccepted()) {
    Accept(aOffset, aEdit);
  }
  if (IsRemembered(verdict.result)) {
    Remember(aEdit, verdict);
  }
  Skip(aOffset);
  return verdict;
}

void
DocumentState::Skip(Offset aOffset)
{
  m_data.through = std::max(m_data.through, aOffset);
}

bool
DocumentState::AdvanceTo(const DocumentSnapshot& aSnapshot)
{
  if (aSnapshot.through <= m_data.through) {
    return false;
  }
  *this = FromSnapshot(aSnapshot);
  return true;
}

const SectionState*
DocumentState::Find(const SectionName& aSection) const
{
  return internal::FindSection(m_data, aSection);
}

Offset
DocumentState::VersionOf(const SectionName& aSection) const
{
  const auto* section = Find(aSection);
  return section ? section->current.version : Offset(0);
}

void
DocumentState::Accept(Offset aOffset, const DocumentEdit& aEdit)
{
  auto& section = FindOrAdd(m_data.sections, aEdit.section);
  section.previous = std::move(section.current);
  section.current = SectionText{ aOffset, aEdit.author, aEdit.text };
  m_data.version = aOffset;
  TakeOver(aEdit.section, ParseSection(aEdit.section, aEdit.text));
  CollectPolicies();
  const auto services = m_services.find(aEdit.section);
  if (services != m_services.end()) {
    RememberRanges(services->second);
  }
}

void
DocumentState::Remember(const DocumentEdit& aEdit, const EditVerdict& aVerdict)
{
  JudgedEdit judged{ aEdit.id, aVerdict.offset, {}, {}, aVerdict.result };
  if (aVerdict.result != EditResult::kMalformed) {
    judged.section = aEdit.section;
    judged.author = aEdit.author;
  }
  auto& history = m_data.history;
  history.push_back(std::move(judged));
  if (history.size() > kRememberedEdits) {
    m_data.forgotten = history.front().offset;
    history.erase(history.begin());
  }
}

void
DocumentState::RememberRanges(const ServicesSection& aSection)
{
  auto& ranges = m_data.ranges;
  for (const auto& service : aSection.services) {
    const auto place = std::lower_bound(
      ranges.begin(),
      ranges.end(),
      service.policy.name,
      [](const DeclaredRanges& aLeft, const ServiceName& aKey) {
        return aLeft.service < aKey;
      });
    const bool known =
      place != ranges.end() && place->service == service.policy.name;
    if (!known) {
      ranges.insert(
        place, DeclaredRanges{ service.policy.name, service.policy.ranges });
    }
  }
}

void
DocumentState::Rebuild()
{
  m_teams = {};
  m_services.clear();
  for (const auto& state : m_data.sections) {
    TakeOver(state.name, ParseSection(state.name, state.current.text));
  }
  CollectPolicies();
}

void
DocumentState::TakeOver(const SectionName& aName, Section aSection)
{
  if (auto* teams = std::get_if<TeamsSection>(&aSection)) {
    m_teams = std::move(*teams);
    return;
  }
  auto& services = std::get<ServicesSection>(aSection);
  m_services.insert_or_assign(aName, std::move(services));
}

void
DocumentState::CollectPolicies()
{
  m_policies.clear();
  for (const auto& [name, section] : m_services) {
    for (const auto& service : section.services) {
      m_policies.insert_or_assign(service.policy.name, service.policy);
    }
  }
}

}
