#ifndef PISTACHIOSHIFT_HTTP_INTERNAL_ANSWERHEADCHECK_H
#define PISTACHIOSHIFT_HTTP_INTERNAL_ANSWERHEADCHECK_H

#include <cstddef>
#include <string_view>

namespace pistachioshift::internal {

/**
 * Finds what http_parser lets pass in the head of an answer: a status with more
 * than three digits.
 */
class AnswerHeadCheck
{
public:
  /** Takes the next bytes of the head, in parts of any size. */
  void Add(std::string_view aBytes);

  /** Meaningful once the status line is complete. */
  bool IsValid() const { return m_statusDigits == kStatusDigits; }

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

  Place m_place = Place::kBeforeHead;
  size_t m_statusDigits = 0;
};

}

#endif
