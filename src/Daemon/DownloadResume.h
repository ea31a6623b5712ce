#ifndef PISTACHIOSHIFT_DAEMON_DOWNLOADRESUME_H
#define PISTACHIOSHIFT_DAEMON_DOWNLOADRESUME_H

#include <cstdint>
#include <string>

#include "src/Http/Message.h"

namespace pistachioshift {

/**
 * \brief Decides how a download that broke off goes on at another attempt.
 *
 * Possible for a GET whose 200 answer has a strong ETag and a length, where
 * the caller asked for no range of its own. Pure.
 */
class DownloadResume
{
public:
  /** \brief Notes the request and the answer's head at the first attempt. */
  void OnHead(const RequestHead& aRequest, const ResponseHead& aAnswer);

  /** \brief Notes body bytes passed on to the caller. */
  void OnBytes(size_t aBytes) { m_sent += aBytes; }

  uint64_t Sent() const { return m_sent; }

  /** \brief Whether another attempt can send the rest. */
  bool CanResume() const { return m_canResume; }

  /** \brief Adds the fields that ask for the rest only. */
  void RequestRemainder(RequestHead& aRequest) const;

  /** \brief Whether this answer is exactly the rest that is missing. */
  bool IsRemainder(const ResponseHead& aAnswer) const;

private:
  bool m_canResume = false;
  std::string m_etag;
  uint64_t m_length = 0;
  uint64_t m_sent = 0;
};

}

#endif
