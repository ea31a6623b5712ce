#include "src/Daemon/Target.h"

#include <cstdlib>
#include <memory>
#include <string_view>

#include <event2/http.h>

#include "src/Daemon/Fields.h"

namespace pistachioshift {

namespace {

bool
HasValidEscapes(std::string_view aText)
{
  for (size_t index = 0; index < aText.size(); ++index) {
    if (aText[index] != '%') {
      continue;
    }
    const bool good = index + 2 < aText.size() &&
                      isxdigit(static_cast<unsigned char>(aText[index + 1])) &&
                      isxdigit(static_cast<unsigned char>(aText[index + 2]));
    if (!good) {
      return false;
    }
  }
  return true;
}

std::string
Unescape(const std::string& aText)
{
  size_t length = 0;
  const std::unique_ptr<char, decltype(&std::free)> text(
    evhttp_uridecode(aText.c_str(), 0, &length), &std::free);
  return std::string(text.get(), length);
}

/** Removes and returns the first segment of a path that starts with '/'. */
std::string_view
TakeSegment(std::string_view& aPath)
{
  aPath.remove_prefix(1);
  const auto end = aPath.find('/');
  const auto segment = aPath.substr(0, end);
  aPath.remove_prefix(segment.size());
  return segment;
}

}

std::optional<Target>
ParseTarget(const RequestHead& aHead)
{
  std::string_view path = aHead.target;
  path = path.substr(0, path.find('?'));
  if (!path.starts_with('/') || !HasValidEscapes(path)) {
    return std::nullopt;
  }
  Target target;
  target.service = ServiceName(Unescape(std::string(TakeSegment(path))));
  if (target.service.Value().empty()) {
    return std::nullopt;
  }
  const auto* key = aHead.headers.Find(fields::kKey);
  if (key != nullptr) {
    target.key = *key;
  } else if (!path.empty()) {
    target.key = Unescape(std::string(TakeSegment(path)));
  }
  target.path = path.empty() ? "/" : std::string(path);
  return target;
}

}
