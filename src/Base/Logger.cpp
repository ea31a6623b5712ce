#include "src/Base/Logger.h"

#include <chrono>

#include <fmt/chrono.h>

#include "src/Base/Error.h"

namespace pistachioshift {

namespace {

std::string_view
LevelName(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

}

LogLevel
ParseLogLevel(std::string_view aText)
{
  for (const auto level : { LogLevel::kDebug,
                            LogLevel::kInfo,
                            LogLevel::kWarning,
                            LogLevel::kError }) {
    if (LevelName(level) == aText) {
      return level;
    }
  }
  throw ConfigError(fmt::format("unknown log level '{}'", aText));
}

Logger::Logger(std::string aProgram, LogLevel aLevel, LogSink* aSink)
  : m_program(std::move(aProgram))
  , m_level(aLevel)
  , m_sink(aSink)
{
}

void
Logger::Write(LogLevel aLevel,
              std::string_view aEvent,
              const std::string& aFields) const
{
  if (aLevel < m_level) {
    return;
  }
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
  const auto millis = now.time_since_epoch().count() % 1000;
  const auto line =
    fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {} {} {}",
                fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                millis,
                LevelName(aLevel),
                m_program,
                aEvent,
                aFields);
  if (m_sink != nullptr) {
    m_sink->Add(line);
  } else {
    fmt::print(stderr, "{}\n", line);
  }
}

}
