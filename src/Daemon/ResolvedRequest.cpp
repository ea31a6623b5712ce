#include "src/Daemon/ResolvedRequest.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "src/Daemon/Fields.h"
#include "src/Daemon/Target.h"
#include "src/Routing/Retry.h"

namespace pistachioshift {

namespace {

using std::chrono::milliseconds;

std::optional<int64_t>
ReadNumber(const Headers& aHeaders, const char* aName)
{
  const auto* text = aHeaders.Find(aName);
  if (text == nullptr) {
    return std::nullopt;
  }
  int64_t number = 0;
  const auto* end = text->data() + text->size();
  const auto result = std::from_chars(text->data(), end, number);
  const bool whole = result.ec == std::errc() && result.ptr == end;
  return whole ? std::optional(number) : std::nullopt;
}

std::string
ReadText(const Headers& aHeaders, const char* aName)
{
  const auto* text = aHeaders.Find(aName);
  return text == nullptr ? std::string() : *text;
}

Duration
TimeLimit(const RequestHead& aHead, const RequestClass& aClass, WallTime aNow)
{
  auto timeLimit = aClass.deadline;
  const auto timeout = ReadNumber(aHead.headers, fields::kTimeout);
  if (timeout) {
    const milliseconds left(std::max<int64_t>(*timeout, 0));
    timeLimit = NestedDeadline(left, timeLimit);
  }
  const auto deadline = ReadNumber(aHead.headers, fields::kDeadline);
  if (deadline) {
    const auto left = milliseconds(*deadline) - aNow.time_since_epoch();
    timeLimit = NestedDeadline(left, timeLimit);
  }
  return timeLimit;
}

}

std::variant<ResolvedRequest, RefusalReason>
ResolveRequest(const RequestHead& aHead,
               const ServicePolicies& aPolicies,
               WallTime aNow)
{
  const auto target = ParseTarget(aHead);
  if (!target) {
    return RefusalReason::kNoService;
  }
  const auto policy = aPolicies.find(target->service);
  if (policy == aPolicies.end()) {
    return RefusalReason::kNoService;
  }
  ResolvedRequest resolved;
  resolved.policy = policy->second;
  resolved.key = target->key;
  if (resolved.policy.division == Division::kKeyed && resolved.key.empty()) {
    return RefusalReason::kNoKey;
  }
  const auto* found = FindClass(policy->second, aHead.method, target->path);
  if (found == nullptr) {
    return RefusalReason::kNoService;
  }
  resolved.requestClass = *found;
  resolved.timeLimit = TimeLimit(aHead, *found, aNow);
  if (resolved.timeLimit <= Duration::zero()) {
    return RefusalReason::kDeadlineExpired;
  }
  resolved.idempotencyKey = ReadText(aHead.headers, fields::kIdempotencyKey);
  resolved.repeat = !ReadText(aHead.headers, fields::kRepeat).empty();
  return resolved;
}

}
