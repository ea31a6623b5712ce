#include "src/Base/LogSink.h"

#include <algorithm>
#include <climits>

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace pistachioshift {

LogSink::LogSink(int aFile, LogSinkLimits aLimits)
  : m_file(aFile)
  , m_limits(aLimits)
{
}

void
LogSink::Add(std::string_view aLine)
{
  const bool full = m_pending.size() + aLine.size() >= m_limits.maxPendingBytes;
  if (full || m_lines >= m_limits.maxLinesPerFlush) {
    ++m_dropped;
    return;
  }
  ++m_lines;
  m_pending.append(aLine).push_back('\n');
}

bool
LogSink::Writable() const
{
  pollfd file{ m_file, POLLOUT, 0 };
  return poll(&file, 1, 0) == 1 && (file.revents & POLLOUT) != 0;
}

bool
LogSink::WriteSome()
{
  // A pipe that polls as writable takes this many bytes without waiting.
  const auto size = std::min(m_pending.size(), size_t{ PIPE_BUF });
  const auto written = write(m_file, m_pending.data(), size);
  if (written <= 0) {
    return false;
  }
  m_pending.erase(0, static_cast<size_t>(written));
  return true;
}

void
LogSink::Flush()
{
  m_lines = 0;
  if (m_dropped > m_reported &&
      m_pending.size() < m_limits.maxPendingBytes / 2) {
    m_pending += fmt::format("log-dropped lines={} since_start={}\n",
                             m_dropped - m_reported,
                             m_dropped);
    m_reported = m_dropped;
  }
  while (!m_pending.empty() && Writable() && WriteSome()) {
  }
}

}
