#include "src/Ctl/Program.h"

#include <string_view>

#include <fmt/format.h>

#include "src/Ctl/Commands.h"

namespace pistachioshift {

namespace {

constexpr size_t kAnyNumber = 1000;

/** \brief One command of the program. */
struct Command
{
  std::string group; ///< First word; empty if the name is the only one.
  std::string name;
  std::string synopsis; ///< Of its arguments.
  std::string summary;
  size_t leastArguments = 0;
  size_t mostArguments = 0;
  std::vector<Flag> flags;
  ExitCode (*run)(const Options&) = nullptr;

  std::string Title() const
  {
    return group.empty() ? name : group + " " + name;
  }

  size_t WordCount() const { return group.empty() ? 1 : 2; }

  bool IsNamedBy(const std::vector<std::string>& aWords) const
  {
    if (aWords.size() < WordCount()) {
      return false;
    }
    return group.empty() ? aWords[0] == name
                         : aWords[0] == group && aWords[1] == name;
  }
};

std::vector<Command>
DocumentCommands()
{
  const auto log = Flag::kLog;
  const auto timeout = Flag::kTimeout;
  const auto section = Flag::kSection;
  return {
    { "document",
      "check",
      "FILE...",
      "check sections offline; a file's name is its section's",
      1,
      kAnyNumber,
      { section },
      &CheckDocument },
    { "document",
      "keygen",
      "",
      "make a team's key and print its entry for section 'teams'",
      0,
      0,
      { Flag::kTeam, Flag::kOutput, Flag::kSections },
      &GenerateTeamKey },
    { "document",
      "edit",
      "",
      "sign a section's new text, append it and tell the verdict",
      0,
      0,
      { log,
        section,
        Flag::kFile,
        Flag::kKeyFile,
        Flag::kTeam,
        Flag::kBase,
        timeout },
      &EditDocument },
    { "document",
      "show",
      "[SECTION]",
      "list the sections, or print the text of one",
      0,
      1,
      { log, timeout },
      &ShowDocument },
    { "document",
      "history",
      "",
      "list the last edits with their verdicts",
      0,
      0,
      { log, section, timeout },
      &ShowHistory },
    { "document",
      "diff",
      "SECTION [FROM [TO]]",
      "compare versions, by default the last two, or the last with a file",
      1,
      3,
      { log, Flag::kFile, timeout },
      &ShowDiff },
    { "document",
      "status",
      "",
      "count the daemons that have each version in force",
      0,
      0,
      { Flag::kDaemon, section, timeout },
      &ShowDocumentStatus },
  };
}

std::vector<Command>
MeshCommands()
{
  const auto daemon = Flag::kDaemon;
  const auto timeout = Flag::kTimeout;
  return {
    { "",
      "status",
      "",
      "list the members as a daemon sees them",
      0,
      0,
      { daemon, timeout },
      &ShowStatus },
    { "",
      "owners",
      "[SERVICE]",
      "list who owns and holds each range and pinned key",
      0,
      1,
      { daemon, timeout },
      &ShowOwners },
    { "",
      "explain",
      "SERVICE KEY",
      "tell where requests for a key go and why",
      2,
      2,
      { daemon, timeout },
      &ExplainKey },
    { "",
      "drain",
      "DAEMON",
      "begin a planned leave of a daemon, given by id or ADDRESS:PORT",
      1,
      1,
      { daemon, timeout },
      &DrainDaemon },
    { "",
      "undrain",
      "DAEMON",
      "take a leave back, where the daemon still can",
      1,
      1,
      { daemon, timeout },
      &UndrainDaemon },
    { "",
      "move",
      "SERVICE",
      "ask the planner to give a range or key to a daemon",
      1,
      1,
      { daemon, Flag::kServiceKey, Flag::kRange, Flag::kTo, timeout },
      &MoveEntry },
    { "log",
      "tail",
      "STREAM",
      "print the records of 'document' or 'ownership'",
      1,
      1,
      { Flag::kLog, Flag::kFrom, Flag::kFollow, timeout },
      &TailLog },
  };
}

std::vector<Command>
AllCommands()
{
  auto commands = DocumentCommands();
  for (auto& command : MeshCommands()) {
    commands.push_back(std::move(command));
  }
  return commands;
}

Command
FindCommand(const std::vector<std::string>& aWords)
{
  for (auto& command : AllCommands()) {
    if (command.IsNamedBy(aWords)) {
      return command;
    }
  }
  throw ConfigError(aWords.empty() ? std::string("no command; see --help")
                                   : fmt::format("no command '{}'; see --help",
                                                 fmt::join(aWords, " ")));
}

ExitCode
RunCommand(const std::vector<std::string>& aWords)
{
  const auto command = FindCommand(aWords);
  const std::vector<std::string> rest(
    aWords.begin() + static_cast<std::ptrdiff_t>(command.WordCount()),
    aWords.end());
  const auto title = "pistachioctl " + command.Title();
  const auto options =
    ParseOptions(title, command.synopsis, command.flags, rest);
  const auto count = options.arguments.size();
  if (count < command.leastArguments || count > command.mostArguments) {
    throw ConfigError(
      fmt::format("usage: {} [OPTION...] {}", title, command.synopsis));
  }
  return command.run(options);
}

ExitCode
Report(ExitCode aCode, const Error& aError)
{
  fmt::print(stderr, "pistachioctl: {}\n", aError.what());
  return aCode;
}

}

std::string
ProgramHelp()
{
  std::string text = "\nCommands (each has its own --help):\n";
  for (const auto& command : AllCommands()) {
    text += fmt::format("  {:<38} {}\n",
                        command.Title() + " " + command.synopsis,
                        command.summary);
  }
  text += "\nExit codes: 0 done or accepted, 1 refused or not so everywhere, "
          "2 bad input,\n3 no answer; an edit was then not written or is "
          "unknown, as its message says.\n";
  return text;
}

ExitCode
RunProgram(const std::vector<std::string>& aWords)
{
  try {
    return RunCommand(aWords);
  } catch (const ConfigError& error) {
    return Report(ExitCode::kBadInput, error);
  } catch (const RefusedError& error) {
    return Report(ExitCode::kRefused, error);
  } catch (const Error& error) {
    return Report(ExitCode::kUnreachable, error);
  }
}

}
