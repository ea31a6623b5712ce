#include "src/Document/Error.h"

#include <utility>

#include <fmt/format.h>

namespace pistachioshift {

namespace {

std::string
Describe(TextPosition aPosition,
         const std::string& aField,
         const std::string& aProblem)
{
  const auto place =
    fmt::format("line {}, column {}", aPosition.line, aPosition.column);
  if (aField.empty()) {
    return fmt::format("{}: {}", place, aProblem);
  }
  return fmt::format("{}: {}: {}", place, aField, aProblem);
}

}

ParseError::ParseError(TextPosition aPosition,
                       std::string aField,
                       std::string aProblem)
  : DocumentError(Describe(aPosition, aField, aProblem))
  , m_position(aPosition)
  , m_field(std::move(aField))
  , m_problem(std::move(aProblem))
{
}

}
