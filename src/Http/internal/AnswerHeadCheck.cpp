#include "src/Http/internal/AnswerHeadCheck.h"

namespace pistachioshift::internal {

void
AnswerHeadCheck::Add(std::string_view aBytes)
{
  for (const char byte : aBytes) {
    AddToStatusLine(byte);
    if (m_place != Place::kBeforeHead) {
      AddToLine(byte);
    }
  }
}

void
AnswerHeadCheck::AddToStatusLine(char aChar)
{
  const bool digit = aChar >= '0' && aChar <= '9';
  switch (m_place) {
    case Place::kBeforeHead:
      if (aChar != '\r' && aChar != '\n') {
        m_place = Place::kVersion;
      }
      return;
    case Place::kVersion:
      if (aChar == ' ') {
        m_place = Place::kBeforeStatus;
      }
      return;
    case Place::kBeforeStatus:
      if (digit) {
        m_place = Place::kStatus;
        ++m_statusDigits;
      }
      return;
    case Place::kStatus:
      if (digit) {
        ++m_statusDigits;
      } else {
        m_place = Place::kAfterStatus;
      }
      return;
    case Place::kAfterStatus:
      return;
  }
}

bool
AnswerHeadCheck::IsValidInLine(char aChar) const
{
  const bool afterCr = m_previous == '\r';
  if (aChar == '\n') {
    return m_endsWithCr.value_or(afterCr) == afterCr;
  }
  const bool blank = aChar == ' ' || aChar == '\t';
  const bool continuesValue = blank && m_previous == '\n';
  return !afterCr && !continuesValue;
}

void
AnswerHeadCheck::AddToLine(char aChar)
{
  m_linesAreValid = m_linesAreValid && IsValidInLine(aChar);
  if (aChar == '\n' && !m_endsWithCr) {
    m_endsWithCr = m_previous == '\r';
  }
  m_previous = aChar;
}

}
