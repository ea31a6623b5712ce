#ifndef PISTACHIOSHIFT_HTTP_INTERNAL_ANSWERHEADCHECK_H
#define PISTACHIOSHIFT_HTTP_INTERNAL_ANSWERHEADCHECK_H

#include <cstddef>
#include <optional>
#include <string_view>

namespace pistachioshift::internal {

/**
 * Finds what http_parser lets pass in the head of an answer: a status with more
 * than three digits, and a blank or control byte in front of a field's name.
 * The parser takes a line that begins with a blank for the rest of the value
 * before it, and a lone CR or LF there for the end of the head.
 */
class AnswerHeadCheck
{
public:
  /** Takes the next bytes of the head, in parts of any size. */
  void Add(std::string_view aBytes);

  /** Meaningful once the status line is complete. */
  bool IsValid() const
  {
    return m_statusDigits == kStatusDigits && m_linesAreValid;
  }

private:
  enum class Place
  {
    kBeforeHead, ///< Line breaks before the status line are ignored.
    kVersion,
    kBeforeStatus,
    kStatus,
    kAfterStatus,
  };
  static constexpr size_t kStatusDigits = 3;

  void AddToStatusLine(char aChar);
  bool IsValidInLine(char aChar) const;
  void AddToLine(char aChar);

  Place m_place = Place::kBeforeHead;
  size_t m_statusDigits = 0;
  bool m_linesAreValid = true;
  char m_previous = '\0';
  /// Whether the status line ended with CR LF, as the other lines must then;
  /// without value within the status line.
  std::optional<bool> m_endsWithCr;
};

}

#endif
