#include "standin/server/Request.h"

#include <algorithm>
#include <charconv>
#include <string_view>

#include <fmt/format.h>

namespace pistachioshift::standin {
namespace {

template<class Number>
std::optional<Number>
Parse(std::string_view aText)
{
  Number number{};
  const char* end = aText.data() + aText.size();
  auto result = std::from_chars(aText.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::string
ValueOf(const Headers& aHeaders, std::string_view aName)
{
  const std::string* value = aHeaders.Find(aName);
  return value ? *value : std::string();
}

std::optional<FenceToken>
ParseFence(std::string_view aText)
{
  size_t dot = aText.find('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  auto entry = Parse<int64_t>(aText.substr(0, dot));
  auto rank = Parse<uint8_t>(aText.substr(dot + 1));
  if (!entry || !rank) {
    return std::nullopt;
  }
  return FenceToken{ Offset(*entry), Rank(*rank) };
}

}

double
Target::Number(const std::string& aName, double aDefault) const
{
  auto found = query.find(aName);
  if (found == query.end()) {
    return aDefault;
  }
  return Parse<double>(found->second).value_or(aDefault);
}

Target
ParseTarget(const std::string& aTarget)
{
  Target target;
  size_t questionMark = std::min(aTarget.find('?'), aTarget.size());
  target.path = aTarget.substr(0, questionMark);
  std::string_view rest = aTarget;
  rest.remove_prefix(std::min(questionMark + 1, rest.size()));
  while (!rest.empty()) {
    size_t end = std::min(rest.find('&'), rest.size());
    std::string_view pair = rest.substr(0, end);
    size_t equals = std::min(pair.find('='), pair.size());
    std::string_view value = pair.substr(std::min(equals + 1, pair.size()));
    target.query[std::string(pair.substr(0, equals))] = value;
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return target;
}

RoutingHeaders
ReadRoutingHeaders(const Headers& aHeaders)
{
  RoutingHeaders routing;
  routing.requestId = ValueOf(aHeaders, "Pistachio-Request");
  routing.key = ValueOf(aHeaders, "Pistachio-Key");
  routing.range = ValueOf(aHeaders, "Pistachio-Range");
  routing.fence = ParseFence(ValueOf(aHeaders, "Pistachio-Fence"));
  auto millis = Parse<int64_t>(ValueOf(aHeaders, "Pistachio-Deadline"));
  if (millis) {
    routing.deadline = WallTime(std::chrono::milliseconds(*millis));
  }
  return routing;
}

std::string
ToString(const FenceToken& aFence)
{
  return fmt::format("{}.{}", aFence.entry.Value(), aFence.rank.Value());
}

std::optional<ByteRange>
ReadRange(const Headers& aHeaders, uint64_t aSize)
{
  constexpr std::string_view kUnit = "bytes=";
  std::string text = ValueOf(aHeaders, "Range");
  size_t dash = text.find('-');
  if (!text.starts_with(kUnit) || dash == std::string::npos || aSize == 0) {
    return std::nullopt;
  }
  std::string_view view = text;
  auto first = Parse<uint64_t>(view.substr(kUnit.size(), dash - kUnit.size()));
  std::string_view lastText = view.substr(dash + 1);
  auto last = lastText.empty() ? std::optional<uint64_t>(aSize - 1)
                               : Parse<uint64_t>(lastText);
  if (!first || !last || *first >= aSize || *last < *first) {
    return std::nullopt;
  }
  return ByteRange{ *first, std::min(*last, aSize - 1) };
}

}
