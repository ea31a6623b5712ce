#ifndef PISTACHIOSHIFT_BASE_LOGGER_H
#define PISTACHIOSHIFT_BASE_LOGGER_H

#include <cstdio>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "src/Base/LogSink.h"

namespace pistachioshift {

enum class LogLevel
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

/** \brief Parses debug, info, warning or error; throws ConfigError. */
LogLevel ParseLogLevel(std::string_view aText);

/**
 * \brief Writes one line for each change of state to stderr or to a LogSink.
 *
 * The format of a line is `time level program event key=value ...`.
 */
class Logger
{
public:
  /** \param aSink receives the lines instead of stderr; must outlive this. */
  Logger(std::string aProgram, LogLevel aLevel, LogSink* aSink = nullptr);

  template<class... Args>
  void Info(std::string_view aEvent,
            fmt::format_string<Args...> aFields,
            Args&&... aArgs) const
  {
    Write(LogLevel::kInfo,
          aEvent,
          fmt::format(aFields, std::forward<Args>(aArgs)...));
  }

  template<class... Args>
  void Warning(std::string_view aEvent,
               fmt::format_string<Args...> aFields,
               Args&&... aArgs) const
  {
    Write(LogLevel::kWarning,
          aEvent,
          fmt::format(aFields, std::forward<Args>(aArgs)...));
  }

  template<class... Args>
  void Error(std::string_view aEvent,
             fmt::format_string<Args...> aFields,
             Args&&... aArgs) const
  {
    Write(LogLevel::kError,
          aEvent,
          fmt::format(aFields, std::forward<Args>(aArgs)...));
  }

private:
  void Write(LogLevel aLevel,
             std::string_view aEvent,
             const std::string& aFields) const;

  std::string m_program;
  LogLevel m_level;
  LogSink* m_sink;
};

}

#endif
