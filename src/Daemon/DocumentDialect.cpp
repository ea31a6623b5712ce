#include "src/Daemon/DocumentDialect.h"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>

#include "src/Daemon/Fields.h"

namespace pistachioshift {

namespace {

constexpr int kStatusNotRun = 503;
constexpr int kStatusUnknown = 504;

}

std::variant<ResolvedRequest, RefusalReason>
DocumentDialect::Read(RequestHead& aHead)
{
  return ResolveRequest(aHead, m_backend.Policies(), m_clock.WallNow());
}

void
DocumentDialect::CompleteAnswer(ResponseHead& aHead,
                                const Destination& aDestination,
                                const FenceToken& aToken)
{
  aHead.headers.Set(fields::kOutcome, std::string(ToString(Outcome::kDone)));
  const auto* member = m_mesh.View().FindMember(aDestination.daemon);
  if (member != nullptr) {
    aHead.headers.Set(fields::kOwner,
                      fmt::format("{}:{} {}.{}",
                                  member->join.callers.address,
                                  member->join.callers.port,
                                  aToken.entry.Value(),
                                  aToken.rank.Value()));
  }
}

LocalResponse
DocumentDialect::Refuse(const RefusalNotice& aNotice)
{
  const bool notRun = aNotice.outcome == Outcome::kNotRun;
  LocalResponse answer;
  answer.body = fmt::format("outcome: {}\nreason: {}\n",
                            ToString(aNotice.outcome),
                            ToString(aNotice.reason));
  auto& head = answer.head;
  head.status = notRun ? kStatusNotRun : kStatusUnknown;
  head.headers.Set(fields::kOutcome, std::string(ToString(aNotice.outcome)));
  head.headers.Set(fields::kReason, std::string(ToString(aNotice.reason)));
  head.headers.Set("Content-Type", "text/plain");
  if (notRun) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(aNotice.retryAfter).count();
    head.headers.Set("Retry-After",
                     std::to_string(std::max<int64_t>(seconds, 1)));
  }
  return answer;
}

}
