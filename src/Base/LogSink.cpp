#include "src/Base/LogSink.h"

#include <algorithm>
#include <climits>

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace pistachioshift {

LogSink::LogSink(int aFd, LogSinkLimits aLimits)
  : m_fd(aFd)
  , m_limits(aLimits)
{
}

void
LogSink::Add(std::string_view aLine)
{
  const bool full = m_pending.size() + aLine.size() >= m_limits.maxPendingBytes;
  if (full || m_linesSinceFlush >= m_limits.maxLinesPerFlush) {
    ++m_dropped;
    return;
  }
  ++m_linesSinceFlush;
  m_pending.append(aLine).push_back('\n');
}

bool
LogSink::IsWritable() const
{
  pollfd descriptor{ m_fd, POLLOUT, 0 };
  return poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
}

bool
LogSink::WriteChunk()
{
  // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
  const auto size = std::min(m_pending.size(), size_t{ PIPE_BUF });
  const auto written = write(m_fd, m_pending.data(), size);
  if (written <= 0) {
    return false;
  }
  m_pending.erase(0, static_cast<size_t>(written));
  return true;
}

void
LogSink::Flush()
{
  m_linesSinceFlush = 0;
  if (m_dropped > m_reportedDropped &&
      m_pending.size() < m_limits.maxPendingBytes / 2) {
    m_pending += fmt::format("log-dropped lines={} since_start={}\n",
                             m_dropped - m_reportedDropped,
                             m_dropped);
    m_reportedDropped = m_dropped;
  }
  while (!m_pending.empty() && IsWritable() && WriteChunk()) {
  }
}

}
