#ifndef PISTACHIOSHIFT_DOCUMENT_VERDICT_H
#define PISTACHIOSHIFT_DOCUMENT_VERDICT_H

#include <cstdint>
#include <string>
#include <string_view>

#include "src/Base/Ids.h"
#include "src/Document/Error.h"

namespace pistachioshift {

/** \brief What replay made of an edit. The values go into checkpoints. */
enum class EditResult : uint8_t
{
  kAccepted = 0,
  kAlreadyApplied = 1, ///< Offset at or below the applied one; no effect.
  kDuplicate = 2,      ///< A copy of an edit judged at an earlier offset.
  kTooOld = 3,         ///< Read before the oldest edit that is remembered.
  kMalformed = 4,      ///< Names, sizes or offsets that no writer may use.
  kNotFounded = 5,     ///< No teams yet, and this edit isn't a founding one.
  kUnknownTeam = 6,
  kNotOwner = 7,
  kBadSignature = 8,
  kStaleBase = 9, ///< Another edit of the section came first.
  kInvalidText = 10,
  kConflict = 11,      ///< Valid alone, but not together with other sections.
  kRangesChanged = 12, ///< Would send keys to other ranges.
};

/** \brief Name of a result in counters and JSON, such as `stale-base`. */
std::string_view EditResultName(EditResult aResult);

/** \brief The verdict on one edit; the same on every daemon. */
struct EditVerdict
{
  EditResult result = EditResult::kMalformed;
  SectionName section;
  Offset offset;         ///< Of the judged record.
  Offset inForce;        ///< Version of the section after this record.
  TextPosition position; ///< In the edit's text; line 0 if none applies.
  std::string message;   ///< For the operator, one line.

  bool IsAccepted() const { return result == EditResult::kAccepted; }
  bool operator==(const EditVerdict&) const = default;
};

}

#endif
