#ifndef PISTACHIOSHIFT_DOCUMENT_ERROR_H
#define PISTACHIOSHIFT_DOCUMENT_ERROR_H

#include <cstdint>
#include <string>

#include "src/Base/Error.h"

namespace pistachioshift {

/** \brief Error of the Document package. */
class DocumentError : public Error
{
public:
  using Error::Error;
};

/** \brief Place in the text of a section; both count from 1, 0 is unknown. */
struct TextPosition
{
  uint32_t line = 0;
  uint32_t column = 0;

  auto operator<=>(const TextPosition&) const = default;
};

/** \brief The text of a section can't be used; says where and which field. */
class ParseError : public DocumentError
{
public:
  /**
   * \param aField dotted path of the field, such as `service[0].slots`; empty
   *        if the text is no TOML.
   */
  ParseError(TextPosition aPosition, std::string aField, std::string aProblem);

  TextPosition Position() const { return m_position; }
  const std::string& Field() const { return m_field; }
  const std::string& Problem() const { return m_problem; }

private:
  TextPosition m_position;
  std::string m_field;
  std::string m_problem;
};

}

#endif
