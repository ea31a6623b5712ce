#include "src/Http/internal/Syntax.h"

#include <algorithm>

namespace pistachioshift::internal {
namespace {

constexpr unsigned char kLastControl = 0x1f;
constexpr unsigned char kDelete = 0x7f;
constexpr unsigned int kFirstStatus = 100;
constexpr unsigned int kLastStatus = 599;

bool
IsControl(char aChar)
{
  const auto value = static_cast<unsigned char>(aChar);
  return value <= kLastControl || value == kDelete;
}

bool
IsTokenChar(char aChar)
{
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  const bool letter =
    (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z');
  const bool digit = aChar >= '0' && aChar <= '9';
  return letter || digit || kSymbols.find(aChar) != std::string_view::npos;
}

}

bool
IsToken(std::string_view aText)
{
  return !aText.empty() && std::ranges::all_of(aText, IsTokenChar);
}

bool
IsFieldValue(std::string_view aText)
{
  return std::ranges::none_of(
    aText, [](char aChar) { return IsControl(aChar) && aChar != '\t'; });
}

bool
IsOriginForm(std::string_view aText)
{
  return aText.starts_with('/') && std::ranges::none_of(aText, [](char aChar) {
           return IsControl(aChar) || aChar == ' ';
         });
}

bool
IsStatus(unsigned int aNumber)
{
  return aNumber >= kFirstStatus && aNumber <= kLastStatus;
}

}
