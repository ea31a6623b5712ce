#ifndef PISTACHIOSHIFT_DOCUMENT_SNAPSHOT_H
#define PISTACHIOSHIFT_DOCUMENT_SNAPSHOT_H

#include <cstdint>
#include <string>
#include <vector>

#include "src/Base/Ids.h"
#include "src/Document/Verdict.h"

namespace pistachioshift {

/** \brief One text of a section. */
struct SectionText
{
  Offset version; ///< 0: there was none.
  TeamName author;
  std::string text;

  bool operator==(const SectionText&) const = default;
};

/** \brief A section in force and the text that it replaced. */
struct SectionState
{
  SectionName name;
  SectionText current;
  SectionText previous;

  bool operator==(const SectionState&) const = default;
};

/** \brief One line of the history; refusals are remembered as well. */
struct JudgedEdit
{
  RecordId id;
  Offset offset;
  SectionName section; ///< Empty if the edit was malformed.
  TeamName author;     ///< Empty if the edit was malformed.
  EditResult result = EditResult::kMalformed;

  bool operator==(const JudgedEdit&) const = default;
};

/** \brief Range count of a service, kept also after the service is gone. */
struct DeclaredRanges
{
  ServiceName service;
  uint32_t ranges = 0;

  bool operator==(const DeclaredRanges&) const = default;
};

/** \brief State of the document after all records through an offset. */
struct DocumentSnapshot
{
  Offset through;                     ///< Last offset applied.
  Offset version;                     ///< Offset of the last accepted edit.
  Offset forgotten;                   ///< Newest edit dropped from the history.
  std::vector<SectionState> sections; ///< By name.
  std::vector<DeclaredRanges> ranges; ///< By service.
  std::vector<JudgedEdit> history;    ///< By offset, oldest first.

  bool operator==(const DocumentSnapshot&) const = default;
};

}

#endif
