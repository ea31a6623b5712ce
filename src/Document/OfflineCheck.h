#ifndef PISTACHIOSHIFT_DOCUMENT_OFFLINECHECK_H
#define PISTACHIOSHIFT_DOCUMENT_OFFLINECHECK_H

#include <cstddef>
#include <string>
#include <vector>

#include "src/Document/Error.h"
#include "src/Document/Section.h"

namespace pistachioshift {

/** \brief Text of one section, not in any document yet. */
struct SectionDraft
{
  SectionName section;
  std::string text;
};

/** \brief What is wrong with a draft. */
struct DraftProblem
{
  size_t draft = 0; ///< Index into the drafts.
  TextPosition position;
  std::string message;
};

/**
 * \brief Checks drafts one by one and then as parts of one document.
 *
 * At most one problem per draft. If `teams` is among them, each section needs
 * an owner there. Signatures, versions and earlier range counts stay unknown.
 * \sa DocumentState::Check for an edit of a document in force
 */
std::vector<DraftProblem> CheckDrafts(const std::vector<SectionDraft>& aDrafts);

}

#endif
