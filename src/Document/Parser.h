#ifndef PISTACHIOSHIFT_DOCUMENT_PARSER_H
#define PISTACHIOSHIFT_DOCUMENT_PARSER_H

#include <string_view>

#include "src/Document/Section.h"

namespace pistachioshift {

/** \brief Lower case letters, digits and dashes, first a letter or digit. */
bool IsDocumentName(std::string_view aText);

/**
 * \brief Parses and checks the text of a section.
 *
 * Unknown fields, values out of bounds and names declared twice are refused. A
 * service without a class that matches all requests gets two: `default-safe`
 * for GET, HEAD and OPTIONS, which is idempotent, and `default`, which isn't.
 *
 * \param aName decides the kind: kTeamsSection or services.
 * \throws ParseError with line, column and field.
 * \sa DocumentState for the checks across sections.
 */
Section ParseSection(const SectionName& aName, std::string_view aText);

}

#endif
