#ifndef PISTACHIOSHIFT_STANDIN_LOG_FAULTS_H
#define PISTACHIOSHIFT_STANDIN_LOG_FAULTS_H

#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>

#include "src/Base/Clock.h"

namespace pistachioshift::standin {

/** \brief Faults that the stand-in can simulate. */
enum class FaultMode
{
  kNone,
  kDown,       ///< Answers every request with 503.
  kClose,      ///< Closes the connection of each request unexecuted.
  kSlow,       ///< Executes and answers every request late.
  kLoseAnswer, ///< Appends, then closes the connection unanswered.
};

/** \brief Parses none, down, close, slow or lose-answer; nullopt for others. */
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

/** \brief The fault being simulated. */
struct Fault
{
  static constexpr uint64_t kEveryRequest =
    std::numeric_limits<uint64_t>::max();

  FaultMode mode = FaultMode::kNone;
  Duration delay{};                   ///< Delay of each request under kSlow.
  uint64_t remaining = kEveryRequest; ///< Requests still to fail.
};

}

#endif
