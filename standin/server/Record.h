#ifndef PISTACHIOSHIFT_STANDIN_SERVER_RECORD_H
#define PISTACHIOSHIFT_STANDIN_SERVER_RECORD_H

#include <cstddef>
#include <deque>
#include <string>

#include "src/Base/Clock.h"
#include "standin/server/Request.h"

namespace pistachioshift::standin {

/** \brief State of a request that was started or refused. */
enum class Outcome
{
  kRunning,
  kDone,
  kCancelled, ///< The connection closed before the response ended.
  kFenced,    ///< Refused with 409: a newer fence was seen.
  kTooLate,   ///< Refused with 503: past its deadline.
  kShed,      ///< Refused with 503: at random or full queue.
};

/** \brief One request in the record. */
struct RecordLine
{
  RoutingHeaders routing;
  std::string method;
  std::string path;
  WallTime start;
  WallTime end;
  Outcome outcome = Outcome::kRunning;
  size_t bodyBytes = 0;
};

/** \brief Requests received, in memory; drops the oldest lines when full. */
class Record
{
public:
  /** \return number of the line, to pass to End. */
  size_t Begin(RecordLine aLine);
  void End(size_t aNumber, Outcome aOutcome, WallTime aNow, size_t aBodyBytes);

  /** \brief Returns one JSON object per line. */
  std::string ToJsonLines() const;

private:
  std::deque<RecordLine> m_lines;
  size_t m_dropped = 0;
};

}

#endif
