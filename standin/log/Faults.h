#ifndef PISTACHIOSHIFT_STANDIN_LOG_FAULTS_H
#define PISTACHIOSHIFT_STANDIN_LOG_FAULTS_H

#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>

#include "src/Base/Clock.h"

namespace pistachioshift::standin {

/** \brief How the stand-in misbehaves. */
enum class FaultMode
{
  kNone,
  kDown,       ///< Answers every request with 503.
  kClose,      ///< Closes every connection without doing anything.
  kSlow,       ///< Does and answers everything late.
  kLoseAnswer, ///< Writes, then closes the connection without an answer.
};

/** \brief none, down, close, slow or lose-answer; nothing for others. */
inline std::optional<FaultMode>
ParseFaultMode(std::string_view aText)
{
  if (aText == "none") {
    return FaultMode::kNone;
  }
  if (aText == "down") {
    return FaultMode::kDown;
  }
  if (aText == "close") {
    return FaultMode::kClose;
  }
  if (aText == "slow") {
    return FaultMode::kSlow;
  }
  if (aText == "lose-answer") {
    return FaultMode::kLoseAnswer;
  }
  return std::nullopt;
}

/** \brief The fault in force. */
struct Fault
{
  static constexpr uint64_t kEveryRequest =
    std::numeric_limits<uint64_t>::max();

  FaultMode mode = FaultMode::kNone;
  Duration delay{};                   ///< Of kSlow.
  uint64_t remaining = kEveryRequest; ///< Requests that it still hits.
};

}

#endif
