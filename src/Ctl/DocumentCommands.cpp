#include <algorithm>

#include <fmt/format.h>

#include "Pistachioshift/Document"
#include "src/Ctl/Commands.h"
#include "src/Ctl/DocumentSession.h"
#include "src/Ctl/Files.h"

// Commands that read or write the stream `document`.

namespace pistachioshift {

namespace {

constexpr size_t kDiffContext = 3;

DocumentSession
OpenDocument(const Options& aOptions)
{
  return DocumentSession(Require(aOptions.log, "--log"), aOptions.timeout);
}

TeamSecretKey
ReadKey(const std::string& aPath)
{
  auto text = ReadFile(aPath);
  while (!text.empty() && text.back() == '\n') {
    text.pop_back();
  }
  try {
    return ParseSecretKey(text);
  } catch (const DocumentError& error) {
    throw ConfigError(fmt::format("{}: {}", aPath, error.what()));
  }
}

// What is wrong with the text alone is bad input and goes nowhere.
void
CheckText(const SectionName& aSection,
          const std::string& aPath,
          const std::string& aText)
{
  const auto problems = CheckDrafts({ SectionDraft{ aSection, aText } });
  if (problems.empty()) {
    return;
  }
  const auto& problem = problems.front();
  throw ConfigError(fmt::format("{}:{}:{}: section '{}': {}",
                                aPath,
                                problem.position.line,
                                problem.position.column,
                                aSection.Value(),
                                problem.message));
}

TeamName
AuthorOf(const Options& aOptions,
         const DocumentState& aState,
         const SectionName& aSection)
{
  if (aOptions.team) {
    return *aOptions.team;
  }
  const auto* owner = aState.Teams().OwnerOf(aSection);
  if (!owner) {
    throw ConfigError(fmt::format(
      "no team owns the section '{}' yet; give --team", aSection.Value()));
  }
  return owner->name;
}

Offset
BaseOf(const Options& aOptions,
       const DocumentState& aState,
       const SectionName& aSection)
{
  const auto current = aState.VersionOf(aSection);
  if (aOptions.base == "current") {
    return current;
  }
  if (!aOptions.base.empty()) {
    return Offset(ParseWholeNumber("--base", aOptions.base));
  }
  if (current == Offset(0)) {
    return current;
  }
  throw ConfigError(
    fmt::format("section '{}' is at version {}; give --base with the version "
                "that the text was written against",
                aSection.Value(),
                current.Value()));
}

ExitCode
ReportVerdict(const EditVerdict& aVerdict)
{
  if (aVerdict.IsAccepted()) {
    fmt::print("accepted: {}\n", aVerdict.message);
    return ExitCode::kDone;
  }
  fmt::print(
    "refused: {}: {}\n", EditResultName(aVerdict.result), aVerdict.message);
  return ExitCode::kRefused;
}

ExitCode
ReportOutcome(const EditOutcome& aOutcome, const DocumentEdit& aEdit)
{
  if (const auto* verdict = std::get_if<EditVerdict>(&aOutcome)) {
    return ReportVerdict(*verdict);
  }
  if (const auto* failed = std::get_if<EditNotWritten>(&aOutcome)) {
    fmt::print("not written: {}\n", failed->reason);
    return ExitCode::kUnreachable;
  }
  fmt::print("unknown: the edit may still come into force; look for id "
             "{:016x}-{:016x} in 'document history' before another try\n",
             aEdit.id.writer.Value(),
             aEdit.id.sequence);
  return ExitCode::kUnreachable;
}

const SectionState&
FindSection(const DocumentState& aState, const SectionName& aName)
{
  const auto* section = aState.Find(aName);
  if (!section) {
    throw ConfigError(fmt::format("there is no section '{}'", aName.Value()));
  }
  return *section;
}

void
PrintSections(const DocumentState& aState)
{
  fmt::print("document version {}\n", aState.Version().Value());
  for (const auto& section : aState.Sections()) {
    fmt::print("section {} version {} author {} bytes {}\n",
               section.name.Value(),
               section.current.version.Value(),
               section.current.author.Value(),
               section.current.text.size());
  }
}

std::string
VersionText(const DocumentSession& aSession,
            const SectionName& aSection,
            const std::string& aVersion)
{
  const Offset version(ParseWholeNumber("version", aVersion));
  auto text = aSession.TextOf(aSection, version);
  if (!text) {
    throw ConfigError(
      fmt::format("the text of section '{}' at version {} isn't kept any more",
                  aSection.Value(),
                  version.Value()));
  }
  return *std::move(text);
}

}

ExitCode
EditDocument(const Options& aOptions)
{
  const auto& section = Require(aOptions.section, "--section");
  const auto text = ReadFile(Require(aOptions.file, "--file"));
  const auto key = ReadKey(Require(aOptions.keyFile, "--key"));
  CheckText(section, aOptions.file, text);
  auto session = OpenDocument(aOptions);
  DocumentEdit edit;
  edit.id = session.DrawId();
  edit.section = section;
  edit.baseVersion = BaseOf(aOptions, session.State(), section);
  edit.readThrough = session.ReadThrough();
  edit.author = AuthorOf(aOptions, session.State(), section);
  edit.text = text;
  SignEdit(edit, key);
  const Offset next(session.ReadThrough().Value() + 1);
  const auto preview = session.State().Check(next, edit);
  if (!preview.IsAccepted()) {
    return ReportVerdict(preview);
  }
  return ReportOutcome(session.Submit(edit), edit);
}

ExitCode
ShowDocument(const Options& aOptions)
{
  const auto session = OpenDocument(aOptions);
  if (aOptions.arguments.empty()) {
    PrintSections(session.State());
    return ExitCode::kDone;
  }
  const SectionName name(aOptions.arguments.front());
  const auto& current = FindSection(session.State(), name).current;
  fmt::print("{}", current.text);
  fmt::print(stderr,
             "section {} version {} author {}\n",
             name.Value(),
             current.version.Value(),
             current.author.Value());
  return ExitCode::kDone;
}

ExitCode
ShowHistory(const Options& aOptions)
{
  const auto session = OpenDocument(aOptions);
  for (const auto& judged : session.State().History()) {
    if (aOptions.section && judged.section != *aOptions.section) {
      continue;
    }
    fmt::print("offset {} section {} author {} result {} id {:016x}-{:016x}\n",
               judged.offset.Value(),
               judged.section.Value().empty() ? "-" : judged.section.Value(),
               judged.author.Value().empty() ? "-" : judged.author.Value(),
               EditResultName(judged.result),
               judged.id.writer.Value(),
               judged.id.sequence);
  }
  return ExitCode::kDone;
}

ExitCode
ShowDiff(const Options& aOptions)
{
  const auto session = OpenDocument(aOptions);
  const auto& words = aOptions.arguments;
  const SectionName name(words.front());
  const auto& section = FindSection(session.State(), name);
  const bool toFile = !aOptions.file.empty();
  auto before = toFile ? section.current.text : section.previous.text;
  auto after = toFile ? ReadFile(aOptions.file) : section.current.text;
  if (words.size() > 1) {
    before = VersionText(session, name, words[1]);
  }
  if (words.size() > 2) {
    after = VersionText(session, name, words[2]);
  }
  fmt::print("{}", FormatDiff(DiffLines(before, after), kDiffContext));
  return ExitCode::kDone;
}

}
