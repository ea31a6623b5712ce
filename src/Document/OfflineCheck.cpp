#include "src/Document/OfflineCheck.h"

#include <map>
#include <optional>

#include <fmt/format.h>

#include "src/Document/EditCheck.h"
#include "src/Document/Parser.h"

namespace pistachioshift {

namespace {

using MaybeProblem = std::optional<DraftProblem>;

class DraftChecker
{
public:
  MaybeProblem Add(size_t aIndex, const SectionDraft& aDraft)
  {
    if (!IsDocumentName(aDraft.section.Value())) {
      return DraftProblem{ aIndex,
                           {},
                           fmt::format("'{}' is no name of a section",
                                       aDraft.section.Value()) };
    }
    try {
      return AddParsed(aIndex, aDraft);
    } catch (const ParseError& error) {
      return DraftProblem{ aIndex, error.Position(), Shorten(error) };
    }
  }

  MaybeProblem CheckOwner(size_t aIndex, const SectionDraft& aDraft) const
  {
    if (m_teams.teams.empty() || m_teams.OwnerOf(aDraft.section)) {
      return std::nullopt;
    }
    return DraftProblem{ aIndex,
                         TextPosition{ 1, 1 },
                         fmt::format("no team owns the section '{}'",
                                     aDraft.section.Value()) };
  }

private:
  MaybeProblem AddParsed(size_t aIndex, const SectionDraft& aDraft)
  {
    auto section = ParseSection(aDraft.section, aDraft.text);
    if (auto* teams = std::get_if<TeamsSection>(&section)) {
      m_teams = std::move(*teams);
      return std::nullopt;
    }
    if (m_services.contains(aDraft.section)) {
      return DraftProblem{ aIndex, {}, "the section is given twice" };
    }
    const internal::CheckContext context{ m_nothing, m_teams, m_services };
    auto& services = std::get<ServicesSection>(section);
    if (auto refusal =
          internal::CheckServices(context, aDraft.section, services)) {
      return DraftProblem{ aIndex, refusal->position, refusal->message };
    }
    m_services.emplace(aDraft.section, std::move(services));
    return std::nullopt;
  }

  static std::string Shorten(const ParseError& aError)
  {
    return aError.Field().empty()
             ? aError.Problem()
             : fmt::format("{}: {}", aError.Field(), aError.Problem());
  }

  DocumentSnapshot m_nothing;
  TeamsSection m_teams;
  std::map<SectionName, ServicesSection> m_services;
};

}

std::vector<DraftProblem>
CheckDrafts(const std::vector<SectionDraft>& aDrafts)
{
  DraftChecker checker;
  std::vector<MaybeProblem> found;
  found.reserve(aDrafts.size());
  for (size_t index = 0; index < aDrafts.size(); ++index) {
    found.push_back(checker.Add(index, aDrafts[index]));
  }
  std::vector<DraftProblem> problems;
  for (size_t index = 0; index < aDrafts.size(); ++index) {
    auto problem =
      found[index] ? found[index] : checker.CheckOwner(index, aDrafts[index]);
    if (problem) {
      problems.push_back(*std::move(problem));
    }
  }
  return problems;
}

}
