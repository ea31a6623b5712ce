#include <string>

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "Pistachioshift/Document"

namespace pistachioshift {
namespace {

constexpr int kTeams = 40;

TeamSecretKey
KeyOf(int aTeam)
{
  TeamSecretKey key;
  key.seed[0] = static_cast<uint8_t>(aTeam);
  return key;
}

std::string
TeamsText()
{
  std::string text;
  for (int team = 0; team < kTeams; ++team) {
    text += fmt::format(
      "[[team]]\nname = \"team-{0}\"\nkeys = [\"{1}\"]\nsections = [{2}"
      "\"section-{0}\"]\n",
      team,
      FormatPublicKey(PublicKeyOf(KeyOf(team))),
      team == 0 ? "\"teams\", " : "");
  }
  return text;
}

/** Two services with four classes each, as the example documents have. */
std::string
SectionText(int aSection, int64_t aEdit)
{
  std::string text = fmt::format("# edit {}\n", aEdit);
  for (const auto* kind : { "keyed", "any-instance" }) {
    const bool keyed = std::string(kind) == "keyed";
    text += fmt::format("[[service]]\nname = \"service-{}-{}\"\ndivision = "
                        "\"{}\"\n{}slots = 9\n",
                        aSection,
                        kind,
                        kind,
                        keyed ? "ranges = 1024\n" : "");
    for (int entry = 0; entry < 4; ++entry) {
      text += fmt::format("[[service.class]]\nname = \"class-{0}\"\nmethods = "
                          "[\"POST\"]\npath_prefix = \"/path-{0}\"\nweight = "
                          "2.5\ndeadline_ms = 600\nqueue_bound = 64\n",
                          entry);
    }
  }
  return text;
}

DocumentEdit
SignedEdit(const DocumentState& aState,
           const SectionName& aSection,
           int aTeam,
           std::string aText)
{
  DocumentEdit edit;
  edit.id =
    RecordId{ BootId(1), static_cast<uint64_t>(aState.Applied().Value()) };
  edit.section = aSection;
  edit.baseVersion = aState.VersionOf(aSection);
  edit.readThrough = aState.Applied();
  edit.author = TeamName(fmt::format("team-{}", aTeam));
  edit.text = std::move(aText);
  SignEdit(edit, KeyOf(aTeam));
  return edit;
}

void
ApplyNext(DocumentState& aState, const DocumentEdit& aEdit)
{
  const auto verdict =
    aState.Apply(Offset(aState.Applied().Value() + 1), aEdit);
  if (!verdict.IsAccepted()) {
    throw DocumentError(verdict.message);
  }
}

DocumentEdit
NextEdit(const DocumentState& aState, int aTeam)
{
  return SignedEdit(aState,
                    SectionName(fmt::format("section-{}", aTeam)),
                    aTeam,
                    SectionText(aTeam, aState.Applied().Value()));
}

DocumentState
LargeDocument()
{
  DocumentState state;
  ApplyNext(state, SignedEdit(state, kTeamsSection, 0, TeamsText()));
  for (int team = 0; team < kTeams; ++team) {
    ApplyNext(state, NextEdit(state, team));
  }
  return state;
}

void
ParseOneSection(benchmark::State& aState)
{
  const auto text = SectionText(1, 1);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(ParseSection(SectionName("section-1"), text));
  }
  aState.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(ParseOneSection);

void
ReplayOneEdit(benchmark::State& aState)
{
  auto document = LargeDocument();
  int team = 0;
  for (auto _ : aState) {
    aState.PauseTiming();
    team = (team + 1) % kTeams;
    const auto edit = NextEdit(document, team);
    aState.ResumeTiming();
    ApplyNext(document, edit);
  }
}
BENCHMARK(ReplayOneEdit);

void
RefuseWronglySignedEdit(benchmark::State& aState)
{
  const auto document = LargeDocument();
  auto edit = NextEdit(document, 1);
  edit.signature[0] ^= 1;
  const Offset next(document.Applied().Value() + 1);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(document.Check(next, edit));
  }
}
BENCHMARK(RefuseWronglySignedEdit);

void
RestoreDocumentOf40Sections(benchmark::State& aState)
{
  const auto snapshot = LargeDocument().Snapshot();
  for (auto _ : aState) {
    benchmark::DoNotOptimize(DocumentState::FromSnapshot(snapshot));
  }
}
BENCHMARK(RestoreDocumentOf40Sections);

}
}
