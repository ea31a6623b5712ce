#ifndef PISTACHIOSHIFT_CTL_OPTIONS_H
#define PISTACHIOSHIFT_CTL_OPTIONS_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"

namespace pistachioshift {

/** \brief Flags that commands pick from. */
enum class Flag
{
  kLog,
  kDaemon,
  kTimeout,
  kSection,
  kFile,
  kKeyFile,
  kTeam,
  kBase,
  kSections,
  kOutput,
  kServiceKey,
  kRange,
  kTo,
  kFrom,
  kFollow,
};

/** \brief Values of the flags and the arguments of one command. */
struct Options
{
  std::optional<Endpoint> log;
  std::vector<Endpoint> daemons; ///< Operators' ports.
  Duration timeout = std::chrono::seconds(15);
  std::optional<SectionName> section;
  std::string file;
  std::string keyFile;
  std::optional<TeamName> team;
  std::string base;
  std::vector<SectionName> sections;
  std::string output;
  std::optional<std::string> serviceKey;
  std::optional<RangeIndex> range;
  std::optional<DaemonId> to;
  Offset from{ 1 };
  bool follow = false;
  std::vector<std::string> arguments;
};

/**
 * \brief Parses the words after a command's name by popt.
 *
 * `--help` prints the flags and ends the process with 0.
 *
 * \param aTitle of the command, such as `pistachioctl document edit`.
 * \param aSynopsis of its arguments.
 * \throws ConfigError
 */
Options ParseOptions(const std::string& aTitle,
                     const std::string& aSynopsis,
                     const std::vector<Flag>& aFlags,
                     const std::vector<std::string>& aWords);

/** \brief Reads `ADDRESS:PORT` by IP numbers; throws ConfigError. */
Endpoint ParseEndpoint(const std::string& aText);

/** \brief Reads a whole number of at least 0; throws ConfigError. */
int64_t ParseWholeNumber(std::string_view aWhat, const std::string& aText);

/** \brief Value of a flag that the command needs; throws ConfigError. */
template<class Value>
const Value& Require(const std::optional<Value>& aValue,
                     std::string_view aFlag);

/** \brief Value of a text flag that the command needs; throws ConfigError. */
std::string Require(const std::string& aValue, std::string_view aFlag);

[[noreturn]] void FailMissing(std::string_view aFlag);

template<class Value>
const Value&
Require(const std::optional<Value>& aValue, std::string_view aFlag)
{
  if (!aValue) {
    FailMissing(aFlag);
  }
  return *aValue;
}

}

#endif
