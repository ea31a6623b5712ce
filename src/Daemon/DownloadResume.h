#ifndef PISTACHIOSHIFT_DAEMON_DOWNLOADRESUME_H
#define PISTACHIOSHIFT_DAEMON_DOWNLOADRESUME_H

#include <cstdint>
#include <string>

#include "src/Http/Message.h"

namespace pistachioshift {

/**
 * \brief Resumes an interrupted download with a range request in the next
 * attempt.
 *
 * Possible for a GET request without a Range field whose answer is a 200 with a
 * strong ETag and a Content-Length. Pure.
 */
class DownloadResume
{
public:
  /** \brief Records the request and the answer's head of the first attempt. */
  void OnHead(const RequestHead& aRequest, const ResponseHead& aAnswer);

  /** \brief Counts body bytes passed on to the caller. */
  void OnBytes(size_t aBytes) { m_sent += aBytes; }

  uint64_t Sent() const { return m_sent; }

  /** \brief Whether that many more bytes belong to the body, as far as its
   * first head has told its length. */
  bool Expects(size_t aBytes) const
  {
    return !m_canResume || aBytes <= m_length - m_sent;
  }

  /** \brief Whether another attempt can fetch the remaining bytes. */
  bool CanResume() const { return m_canResume; }

  /** \brief Adds the fields Range and If-Range for the remaining bytes. */
  void RequestRemainder(RequestHead& aRequest) const;

  /** \brief Whether an answer has exactly the remaining bytes. */
  bool IsRemainder(const ResponseHead& aAnswer) const;

private:
  bool m_canResume = false;
  std::string m_etag;
  uint64_t m_length = 0;
  uint64_t m_sent = 0;
};

}

#endif
