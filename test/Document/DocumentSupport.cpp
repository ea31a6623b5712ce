#include "test/Document/DocumentSupport.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace pistachioshift::test {

namespace {

enum class Kind : uint8_t
{
  kPlain,
  kPlainAgain, // Twice, so that most edits are proper ones.
  kCopy,
  kUnsigned,
  kForeignAuthor,
  kOldKey,
  kTeams,
  kCount,
};

const std::array<std::string, 2> kOwners = { "alpha", "beta" };

std::string
TextFor(const std::string& aSection, uint8_t aChoice, uint64_t aId)
{
  auto mark = fmt::format("# {}\n", aId);
  switch (aChoice % 7) {
    case 0:
      return mark;
    case 1:
      return mark + "[[service]]\nname = 7\n";
    case 2:
      return mark + ServiceText("shared");
    case 3:
      return mark + ServiceText(aSection + "-own", 32);
    default:
      return mark + ServiceText(aSection + "-own");
  }
}

std::string
TeamsFor(uint8_t aChoice, uint64_t aId)
{
  auto teams = DefaultTeams();
  switch (aChoice % 4) {
    case 0:
      teams[1].generation = 1;
      break;
    case 1:
      teams.pop_back();
      break;
    default:
      break;
  }
  return fmt::format("# {}\n", aId) + TeamsText(teams);
}

class LogWriter
{
public:
  LogWriter()
  {
    Append(Signed(MakeEdit(
      m_nextId++, "teams", Offset(0), "ops", TeamsText(DefaultTeams()))));
  }

  void Add(const Step& aStep)
  {
    m_offset += aStep.gap % 3;
    Append(Compose(aStep));
  }

  ScriptedLog Take() { return std::move(m_log); }

private:
  void Append(const DocumentEdit& aEdit)
  {
    const Offset offset(++m_offset);
    m_log.records.push_back({ offset, aEdit });
    m_log.verdicts.push_back(m_state.Apply(offset, aEdit));
    m_log.states.push_back(m_state);
  }

  const DocumentState& View(uint8_t aLag) const
  {
    const size_t last = m_log.states.size() - 1;
    const size_t lag = aLag % 4 == 0 ? aLag / 4 : 0;
    return m_log.states[last - std::min<size_t>(lag, last)];
  }

  DocumentEdit Compose(const Step& aStep)
  {
    const auto kind =
      static_cast<Kind>(aStep.kind % static_cast<uint8_t>(Kind::kCount));
    if (kind == Kind::kCopy) {
      return m_log.records[aStep.lag % m_log.records.size()].edit;
    }
    const auto id = m_nextId++;
    const auto& view = View(aStep.lag);
    if (kind == Kind::kTeams) {
      auto edit = MakeEdit(id,
                           "teams",
                           view.VersionOf(kTeamsSection),
                           "ops",
                           TeamsFor(aStep.text, id));
      edit.readThrough = view.Applied();
      return Signed(edit);
    }
    return ComposeServices(aStep, kind, id, view);
  }

  static DocumentEdit ComposeServices(const Step& aStep,
                                      Kind aKind,
                                      uint64_t aId,
                                      const DocumentState& aView)
  {
    const auto& owner = kOwners[aStep.section % 2];
    const auto& other = kOwners[(aStep.section + 1) % 2];
    const bool foreign = aKind == Kind::kForeignAuthor;
    auto edit = MakeEdit(aId,
                         owner,
                         aView.VersionOf(SectionName(owner)),
                         foreign ? other : owner,
                         TextFor(owner, aStep.text, aId));
    edit.readThrough = aView.Applied();
    if (aKind == Kind::kUnsigned) {
      return edit;
    }
    return Signed(edit, aKind == Kind::kOldKey ? 1 : 0);
  }

  ScriptedLog m_log;
  DocumentState m_state;
  int64_t m_offset = 0;
  uint64_t m_nextId = 1;
};

}

TeamSecretKey
KeyOf(const std::string& aTeam, int aGeneration)
{
  TeamSecretKey key;
  const auto text = fmt::format("{}/{}", aTeam, aGeneration);
  std::copy_n(
    text.begin(), std::min(text.size(), key.seed.size()), key.seed.begin());
  return key;
}

std::string
TeamsText(const std::vector<TeamSpec>& aTeams)
{
  std::string text;
  for (const auto& team : aTeams) {
    const auto key = PublicKeyOf(KeyOf(team.name, team.generation));
    text += fmt::format("[[team]]\nname = \"{}\"\nkeys = [\"{}\"]\n",
                        team.name,
                        FormatPublicKey(key));
    text += team.sections.empty()
              ? std::string("sections = []\n")
              : fmt::format("sections = [\"{}\"]\n",
                            fmt::join(team.sections, "\", \""));
  }
  return text;
}

std::vector<TeamSpec>
DefaultTeams()
{
  return { { "ops", { "teams" } },
           { "alpha", { "alpha" } },
           { "beta", { "beta" } } };
}

std::string
ServiceText(const std::string& aName, uint32_t aRanges)
{
  return fmt::format("[[service]]\nname = \"{}\"\ndivision = \"keyed\"\n"
                     "ranges = {}\nslots = 9\n",
                     aName,
                     aRanges);
}

DocumentEdit
MakeEdit(uint64_t aId,
         const std::string& aSection,
         Offset aBase,
         const std::string& aAuthor,
         std::string aText)
{
  DocumentEdit edit;
  edit.id = RecordId{ BootId(7), aId };
  edit.section = SectionName(aSection);
  edit.baseVersion = aBase;
  edit.readThrough = aBase;
  edit.author = TeamName(aAuthor);
  edit.text = std::move(aText);
  return edit;
}

DocumentEdit
Signed(DocumentEdit aEdit, int aGeneration)
{
  SignEdit(aEdit, KeyOf(aEdit.author.Value(), aGeneration));
  return aEdit;
}

DocumentState
FoundedDocument()
{
  DocumentState state;
  state.Apply(
    Offset(1),
    Signed(MakeEdit(0, "teams", Offset(0), "ops", TeamsText(DefaultTeams()))));
  return state;
}

ScriptedLog
WriteLog(const std::vector<Step>& aSteps)
{
  LogWriter writer;
  for (const auto& step : aSteps) {
    writer.Add(step);
  }
  return writer.Take();
}

}
