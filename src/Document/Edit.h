#ifndef PISTACHIOSHIFT_DOCUMENT_EDIT_H
#define PISTACHIOSHIFT_DOCUMENT_EDIT_H

#include <string>

#include "src/Base/Ids.h"

namespace pistachioshift {

/** \brief Name of the section that lists the teams, their keys and sections. */
inline const SectionName kTeamsSection{ "teams" };

/**
 * \brief One record of the `document` stream: the new text of one section.
 *
 * The version of a section is the offset of the record that set its text; a
 * section that doesn't exist yet has version 0. An edit is accepted only where
 * `baseVersion` is the section's version at the edit's own offset, so of edits
 * that race exactly one wins.
 *
 * **Founding edit.** The first key gets in as follows: while the document has
 * no `teams` section, only an edit of `teams` with base version 0 is judged,
 * and its signature is checked against the keys that its own text gives to its
 * author. The first valid one in offset order founds the document; from then
 * on every edit, also of `teams`, needs a key that is already in force. So the
 * right to found is the right to append to an empty `document` stream. Keys in
 * the daemons' settings were ruled out: hosts with different settings would
 * judge the same record differently.
 *
 * \sa SignEdit, DocumentState
 */
struct DocumentEdit
{
  RecordId id;           ///< Drawn by the writer; a second copy is ignored.
  SectionName section;   ///< At most kMaxNameLength bytes.
  Offset baseVersion;    ///< Version that the author saw; 0: none.
  Offset readThrough;    ///< Last offset of the stream that the author applied.
  TeamName author;       ///< Team whose key signed.
  std::string text;      ///< Whole new TOML text, at most kMaxSectionBytes.
  std::string signature; ///< Ed25519, 64 bytes, over all fields above.

  bool operator==(const DocumentEdit&) const = default;
};

}

#endif
