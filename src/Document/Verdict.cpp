#include "src/Document/Verdict.h"

namespace pistachioshift {

std::string_view
EditResultName(EditResult aResult)
{
  switch (aResult) {
    case EditResult::kAccepted:
      return "accepted";
    case EditResult::kAlreadyApplied:
      return "already-applied";
    case EditResult::kDuplicate:
      return "duplicate";
    case EditResult::kTooOld:
      return "too-old";
    case EditResult::kMalformed:
      return "malformed";
    case EditResult::kNotFounded:
      return "not-founded";
    case EditResult::kUnknownTeam:
      return "unknown-team";
    case EditResult::kNotOwner:
      return "not-owner";
    case EditResult::kBadSignature:
      return "bad-signature";
    case EditResult::kStaleBase:
      return "stale-base";
    case EditResult::kInvalidText:
      return "invalid-text";
    case EditResult::kConflict:
      return "conflict";
    case EditResult::kRangesChanged:
      return "ranges-changed";
  }
  return "unknown";
}

}
