#ifndef PISTACHIOSHIFT_BASE_LOGSINK_H
#define PISTACHIOSHIFT_BASE_LOGSINK_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pistachioshift {

/** \brief Bounds of a LogSink. */
struct LogSinkLimits
{
  /// Lines that wait for a reader; more are dropped and counted.
  size_t maxPendingBytes = size_t{ 256 } * 1024;
  /// Lines in one interval between flushes; bounds volume and processor time.
  size_t maxLinesPerFlush = 100;
};

/**
 * \brief Writes lines to a file descriptor without ever waiting for its reader.
 *
 * Lines are kept until Flush(), which writes what the reader has room for. What
 * was dropped is reported in a line of its own as soon as there is room.
 */
class LogSink
{
public:
  explicit LogSink(int aFile, LogSinkLimits aLimits = {});

  /** \brief Adds a line, without its end; dropped above the limits. */
  void Add(std::string_view aLine);

  /** \brief Writes what can be written now; begins a new interval. */
  void Flush();

  /** \brief Lines dropped since the start. */
  uint64_t DroppedLines() const { return m_dropped; }

private:
  bool Writable() const;
  bool WriteSome();

  int m_file;
  LogSinkLimits m_limits;
  std::string m_pending;
  size_t m_lines = 0; ///< In this interval.
  uint64_t m_dropped = 0;
  uint64_t m_reported = 0; ///< Drops that were told.
};

}

#endif
