#include "src/Document/EditCheck.h"

#include <algorithm>

#include <fmt/format.h>

#include "src/Document/Parser.h"
#include "src/Document/Signature.h"

namespace pistachioshift::internal {

namespace {

Refusal
Refuse(EditResult aResult, std::string aMessage, TextPosition aPosition = {})
{
  return Refusal{ aResult, std::move(aMessage), aPosition };
}

Refusal
RefuseAt(EditResult aResult,
         const SectionName& aSection,
         TextPosition aPosition,
         std::string_view aProblem)
{
  return Refuse(
    aResult,
    fmt::format(
      "section '{}', line {}: {}", aSection.Value(), aPosition.line, aProblem),
    aPosition);
}

MaybeRefusal
CheckForm(Offset aOffset, const DocumentEdit& aEdit)
{
  if (!IsDocumentName(aEdit.section.Value()) ||
      !IsDocumentName(aEdit.author.Value())) {
    return Refuse(EditResult::kMalformed,
                  "the names of the section and of the author must be lower "
                  "case letters, digits and dashes");
  }
  if (aEdit.text.size() > kMaxSectionBytes) {
    return Refuse(EditResult::kMalformed,
                  fmt::format("section '{}': the text is longer than {} bytes",
                              aEdit.section.Value(),
                              kMaxSectionBytes));
  }
  const bool ordered = Offset(0) <= aEdit.baseVersion &&
                       aEdit.baseVersion <= aEdit.readThrough &&
                       aEdit.readThrough < aOffset;
  if (!ordered) {
    return Refuse(EditResult::kMalformed,
                  fmt::format("section '{}': base version {} and last offset "
                              "read {} can't precede offset {}",
                              aEdit.section.Value(),
                              aEdit.baseVersion.Value(),
                              aEdit.readThrough.Value(),
                              aOffset.Value()));
  }
  return std::nullopt;
}

MaybeRefusal
CheckCopy(const DocumentSnapshot& aData, const DocumentEdit& aEdit)
{
  const auto& history = aData.history;
  const auto copy = std::find_if(
    history.begin(), history.end(), [&](const JudgedEdit& aJudged) {
      return aJudged.id == aEdit.id;
    });
  if (copy != history.end()) {
    return Refuse(EditResult::kDuplicate,
                  fmt::format("a copy of the edit at offset {}, which was {}",
                              copy->offset.Value(),
                              EditResultName(copy->result)));
  }
  if (aEdit.readThrough < aData.forgotten) {
    return Refuse(
      EditResult::kTooOld,
      fmt::format("section '{}': the edit was written after reading "
                  "offset {}, more than {} edits ago; read the "
                  "document again",
                  aEdit.section.Value(),
                  aEdit.readThrough.Value(),
                  kRememberedEdits));
  }
  return std::nullopt;
}

bool
SignedByTeam(const DocumentEdit& aEdit, const Team& aTeam)
{
  return std::any_of(
    aTeam.keys.begin(), aTeam.keys.end(), [&](const TeamPublicKey& aKey) {
      return VerifyEdit(aEdit, aKey);
    });
}

MaybeRefusal
CheckAuthor(const TeamsSection& aTeams, const DocumentEdit& aEdit)
{
  const auto& section = aEdit.section.Value();
  const auto& author = aEdit.author.Value();
  const auto* team = aTeams.Find(aEdit.author);
  if (!team) {
    return Refuse(EditResult::kUnknownTeam,
                  fmt::format("section '{}': there is no team '{}' in 'teams'",
                              section,
                              author));
  }
  if (!team->Owns(aEdit.section)) {
    const auto* owner = aTeams.OwnerOf(aEdit.section);
    return Refuse(
      EditResult::kNotOwner,
      fmt::format("section '{}' belongs to {}, not to team '{}'",
                  section,
                  owner ? "team '" + owner->name.Value() + "'" : "no team",
                  author));
  }
  if (!SignedByTeam(aEdit, *team)) {
    return Refuse(
      EditResult::kBadSignature,
      fmt::format("section '{}': the signature is missing or not by "
                  "a key of team '{}'",
                  section,
                  author));
  }
  return std::nullopt;
}

MaybeRefusal
CheckBase(const DocumentSnapshot& aData, const DocumentEdit& aEdit)
{
  static const SectionText kNone;
  const auto* section = FindSection(aData, aEdit.section);
  const auto& current = section ? section->current : kNone;
  if (aEdit.baseVersion == current.version) {
    return std::nullopt;
  }
  const auto line = FirstDifferentLine(aEdit.text, current.text);
  const auto where =
    line == 0
      ? std::string("with the same text")
      : fmt::format("which differs from this text from line {} on", line);
  return Refuse(
    EditResult::kStaleBase,
    fmt::format("section '{}': the edit was written against version {}, but "
                "version {} by team '{}' is in force, {}",
                aEdit.section.Value(),
                aEdit.baseVersion.Value(),
                current.version.Value(),
                current.author.Value(),
                where),
    TextPosition{ line, line == 0 ? 0U : 1U });
}

// A section that declares services must keep an owner, or nobody could ever
// change it again.
MaybeRefusal
CheckOwners(const CheckContext& aContext, const TeamsSection& aTeams)
{
  for (const auto& [name, section] : aContext.services) {
    if (section.services.empty() || aTeams.OwnerOf(name)) {
      continue;
    }
    return Refuse(
      EditResult::kConflict,
      fmt::format("section '{}': section '{}' declares services and would be "
                  "left without an owner",
                  kTeamsSection.Value(),
                  name.Value()));
  }
  return std::nullopt;
}

const uint32_t*
FindRanges(const DocumentSnapshot& aData, const ServiceName& aService)
{
  const auto found = std::find_if(
    aData.ranges.begin(),
    aData.ranges.end(),
    [&](const DeclaredRanges& aRanges) { return aRanges.service == aService; });
  return found == aData.ranges.end() ? nullptr : &found->ranges;
}

std::string
DescribeRanges(uint32_t aRanges)
{
  return aRanges == 0 ? std::string("as any-instance")
                      : fmt::format("as keyed with {} ranges", aRanges);
}

MaybeRefusal
CheckRanges(const CheckContext& aContext,
            const SectionName& aSection,
            const DeclaredService& aService)
{
  const auto& policy = aService.policy;
  const auto* ranges = FindRanges(aContext.data, policy.name);
  if (!ranges || *ranges == policy.ranges) {
    return std::nullopt;
  }
  return RefuseAt(EditResult::kRangesChanged,
                  aSection,
                  aService.position,
                  fmt::format("service '{}' was declared {} and must stay so, "
                              "or its keys would change ranges; declare a new "
                              "service instead",
                              policy.name.Value(),
                              DescribeRanges(*ranges)));
}

MaybeRefusal
CheckUnique(const CheckContext& aContext,
            const SectionName& aSection,
            const DeclaredService& aService)
{
  for (const auto& [name, section] : aContext.services) {
    if (name == aSection) {
      continue;
    }
    for (const auto& other : section.services) {
      if (other.policy.name != aService.policy.name) {
        continue;
      }
      return RefuseAt(EditResult::kConflict,
                      aSection,
                      aService.position,
                      fmt::format("service '{}' is declared by section '{}', "
                                  "line {}",
                                  aService.policy.name.Value(),
                                  name.Value(),
                                  other.position.line));
    }
  }
  return std::nullopt;
}

// The range counts stay in every checkpoint, so their number is bounded.
MaybeRefusal
CheckServiceCount(const DocumentSnapshot& aData,
                  const SectionName& aSection,
                  const ServicesSection& aServices)
{
  size_t count = aData.ranges.size();
  for (const auto& service : aServices.services) {
    count += FindRanges(aData, service.policy.name) ? 0 : 1;
    if (count > kMaxServicesEver) {
      return RefuseAt(
        EditResult::kConflict,
        aSection,
        service.position,
        fmt::format("the document has declared {} services, which "
                    "is the most",
                    kMaxServicesEver));
    }
  }
  return std::nullopt;
}

}

MaybeRefusal
CheckServices(const CheckContext& aContext,
              const SectionName& aSection,
              const ServicesSection& aServices)
{
  for (const auto& service : aServices.services) {
    if (auto refusal = CheckUnique(aContext, aSection, service)) {
      return refusal;
    }
    if (auto refusal = CheckRanges(aContext, aSection, service)) {
      return refusal;
    }
  }
  return CheckServiceCount(aContext.data, aSection, aServices);
}

namespace {

MaybeRefusal
CheckRoom(const DocumentSnapshot& aData, const DocumentEdit& aEdit)
{
  const bool isNew = !FindSection(aData, aEdit.section);
  if (!isNew || aData.sections.size() < kMaxSections) {
    return std::nullopt;
  }
  return Refuse(
    EditResult::kConflict,
    fmt::format("section '{}': the document has {} sections, which is the most",
                aEdit.section.Value(),
                kMaxSections));
}

MaybeRefusal
CheckDocument(const CheckContext& aContext,
              const DocumentEdit& aEdit,
              const Section& aSection)
{
  if (const auto* teams = std::get_if<TeamsSection>(&aSection)) {
    return CheckOwners(aContext, *teams);
  }
  if (auto refusal = CheckRoom(aContext.data, aEdit)) {
    return refusal;
  }
  return CheckServices(
    aContext, aEdit.section, std::get<ServicesSection>(aSection));
}

Refusal
RefuseText(const SectionName& aSection, const ParseError& aError)
{
  return Refuse(
    EditResult::kInvalidText,
    fmt::format("section '{}', {}", aSection.Value(), aError.what()),
    aError.Position());
}

MaybeRefusal
CheckFounding(const DocumentEdit& aEdit)
{
  if (aEdit.section != kTeamsSection || aEdit.baseVersion != Offset(0)) {
    return Refuse(EditResult::kNotFounded,
                  fmt::format("section '{}': the document isn't founded yet; "
                              "the first edit must be of section '{}'",
                              aEdit.section.Value(),
                              kTeamsSection.Value()));
  }
  try {
    const auto section = ParseSection(aEdit.section, aEdit.text);
    const auto& teams = std::get<TeamsSection>(section);
    return CheckAuthor(teams, aEdit);
  } catch (const ParseError& error) {
    return RefuseText(aEdit.section, error);
  }
}

MaybeRefusal
CheckChange(const CheckContext& aContext, const DocumentEdit& aEdit)
{
  if (auto refusal = CheckAuthor(aContext.teams, aEdit)) {
    return refusal;
  }
  if (auto refusal = CheckBase(aContext.data, aEdit)) {
    return refusal;
  }
  try {
    const auto section = ParseSection(aEdit.section, aEdit.text);
    return CheckDocument(aContext, aEdit, section);
  } catch (const ParseError& error) {
    return RefuseText(aEdit.section, error);
  }
}

}

uint32_t
FirstDifferentLine(std::string_view aLeft, std::string_view aRight)
{
  if (aLeft == aRight) {
    return 0;
  }
  const auto [left, right] =
    std::mismatch(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end());
  return 1 + static_cast<uint32_t>(std::count(aLeft.begin(), left, '\n'));
}

const SectionState*
FindSection(const DocumentSnapshot& aData, const SectionName& aSection)
{
  const auto found = std::find_if(
    aData.sections.begin(),
    aData.sections.end(),
    [&](const SectionState& aState) { return aState.name == aSection; });
  return found == aData.sections.end() ? nullptr : &*found;
}

MaybeRefusal
CheckEdit(const CheckContext& aContext,
          Offset aOffset,
          const DocumentEdit& aEdit)
{
  if (aOffset <= aContext.data.through) {
    return Refuse(EditResult::kAlreadyApplied,
                  fmt::format("offset {} was applied before", aOffset.Value()));
  }
  if (auto refusal = CheckCopy(aContext.data, aEdit)) {
    return refusal;
  }
  if (auto refusal = CheckForm(aOffset, aEdit)) {
    return refusal;
  }
  if (aContext.teams.teams.empty()) {
    return CheckFounding(aEdit);
  }
  return CheckChange(aContext, aEdit);
}

}
