#include "src/Routing/ServicePolicy.h"

#include <algorithm>

namespace pistachioshift {

namespace {

bool
Matches(const RequestClass& aClass,
        const std::string& aMethod,
        const std::string& aPath)
{
  const auto& methods = aClass.methods;
  const bool method =
    methods.empty() ||
    std::find(methods.begin(), methods.end(), aMethod) != methods.end();
  return method && aPath.starts_with(aClass.pathPrefix);
}

}

Duration
ServicePolicy::LongestDeadline() const
{
  Duration longest{};
  for (const auto& entry : classes) {
    longest = std::max(longest, entry.deadline);
  }
  return longest;
}

const RequestClass*
FindClass(const ServicePolicy& aPolicy,
          const std::string& aMethod,
          const std::string& aPath)
{
  for (const auto& entry : aPolicy.classes) {
    if (Matches(entry, aMethod, aPath)) {
      return &entry;
    }
  }
  return nullptr;
}

}
