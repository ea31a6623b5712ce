#ifndef PISTACHIOSHIFT_DOCUMENT_EDITCHECK_H
#define PISTACHIOSHIFT_DOCUMENT_EDITCHECK_H

#include <map>
#include <optional>
#include <string>

#include "src/Document/DocumentState.h"

namespace pistachioshift::internal {

/** \brief Why an edit is refused. */
struct Refusal
{
  EditResult result = EditResult::kMalformed;
  std::string message;
  TextPosition position;
};

using MaybeRefusal = std::optional<Refusal>;

/** \brief What the checks look at: the state before the edit. */
struct CheckContext
{
  const DocumentSnapshot& data;
  const TeamsSection& teams;
  const std::map<SectionName, ServicesSection>& services;
};

/** \brief All checks in their fixed order; the first refusal counts. */
MaybeRefusal CheckEdit(const CheckContext& aContext,
                       Offset aOffset,
                       const DocumentEdit& aEdit);

/** \brief Checks a section against the rest of the document. */
MaybeRefusal CheckServices(const CheckContext& aContext,
                           const SectionName& aSection,
                           const ServicesSection& aServices);

/** \brief First line, from 1, in which two texts differ; 0 if they're equal. */
uint32_t FirstDifferentLine(std::string_view aLeft, std::string_view aRight);

/** \brief nullptr if the section doesn't exist. */
const SectionState* FindSection(const DocumentSnapshot& aData,
                                const SectionName& aSection);

}

#endif
