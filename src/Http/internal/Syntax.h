#ifndef PISTACHIOSHIFT_HTTP_INTERNAL_SYNTAX_H
#define PISTACHIOSHIFT_HTTP_INTERNAL_SYNTAX_H

#include <string_view>

namespace pistachioshift::internal {

/** Syntax of the parts of a head (RFC 9110, 5.5, 5.6.2 and 15; RFC 9112, 3.2).
 * The parser accepts exactly what the writer can send. */

/** A method or the name of a field. */
bool IsToken(std::string_view aText);

/** The value of a field: no control characters but the tab. */
bool IsFieldValue(std::string_view aText);

/** A target in origin form: no control characters or blanks. */
bool IsOriginForm(std::string_view aText);

/** The status of an answer. */
bool IsStatus(unsigned int aNumber);

}

#endif
