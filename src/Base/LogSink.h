#ifndef PISTACHIOSHIFT_BASE_LOGSINK_H
#define PISTACHIOSHIFT_BASE_LOGSINK_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pistachioshift {

/** \brief Limits above which a LogSink drops lines. */
struct LogSinkLimits
{
  /// Buffered bytes that the reader has not yet accepted.
  size_t maxPendingBytes = size_t{ 256 } * 1024;
  /// Lines accepted between two flushes; bounds log volume and CPU time.
  size_t maxLinesPerFlush = 100;
};

/**
 * \brief Writes lines to a file descriptor and never blocks on its reader.
 *
 * Add() buffers lines; Flush() writes as many bytes as the descriptor accepts
 * without blocking. Lines above the limits are dropped and counted. A later
 * Flush() reports their number in a log line once the buffer is less than half
 * full.
 */
class LogSink
{
public:
  /** \param aFd stays open while the sink exists; the caller closes it. */
  explicit LogSink(int aFd, LogSinkLimits aLimits = {});

  /** \brief Buffers a line given without newline, or drops it at a limit. */
  void Add(std::string_view aLine);

  /** \brief Writes what can be written without blocking; resets the line limit.
   */
  void Flush();

  /** \brief Number of lines dropped since construction. */
  uint64_t DroppedLines() const { return m_dropped; }

private:
  bool IsWritable() const;
  bool WriteChunk();

  int m_fd;
  LogSinkLimits m_limits;
  std::string m_pending;
  size_t m_linesSinceFlush = 0;
  uint64_t m_dropped = 0;
  uint64_t m_reportedDropped = 0; ///< Dropped lines already reported.
};

}

#endif
