#ifndef PISTACHIOSHIFT_STANDIN_SERVER_RECORD_H
#define PISTACHIOSHIFT_STANDIN_SERVER_RECORD_H

#include <cstddef>
#include <deque>
#include <string>

#include "src/Base/Clock.h"
#include "standin/server/Request.h"

namespace pistachioshift::standin {

/** \brief How a request that started, or was refused, ended. */
enum class Outcome
{
  kRunning,
  kDone,
  kCancelled, ///< Its connection closed before the answer.
  kFenced,    ///< 409
  kTooLate,   ///< 503, past its deadline.
  kShed,      ///< 503
};

/** \brief One line of the record. */
struct RecordLine
{
  Grant grant;
  std::string method;
  std::string path;
  WallTime start;
  WallTime end;
  Outcome outcome = Outcome::kRunning;
  size_t bodyBytes = 0;
};

/** \brief What ran, in memory and bounded: the oldest lines go first. */
class Record
{
public:
  /** \return number of the line, for End. */
  size_t Begin(RecordLine aLine);
  void End(size_t aNumber, Outcome aOutcome, WallTime aNow, size_t aBodyBytes);

  /** \brief One JSON object a line. */
  std::string ToJsonLines() const;

private:
  std::deque<RecordLine> m_lines;
  size_t m_dropped = 0;
};

}

#endif
