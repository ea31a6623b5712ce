#ifndef PISTACHIOSHIFT_BASE_CLOCK_H
#define PISTACHIOSHIFT_BASE_CLOCK_H

#include <chrono>
#include <ctime>

namespace pistachioshift {

using MonoTime =
  std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;
using WallTime =
  std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;
using Duration = std::chrono::nanoseconds;

/**
 * \brief Time source, injected so that tests can run in virtual time.
 * \sa SystemClock, ManualClock
 */
class Clock
{
public:
  virtual ~Clock() = default;

  /** \brief Monotonic time of this host; not comparable between hosts. */
  virtual MonoTime Now() const = 0;

  /** \brief Wall-clock time in milliseconds, for display and absolute
   * deadlines. */
  virtual WallTime WallNow() const = 0;
};

/** \brief The operating system's clocks. */
class SystemClock final : public Clock
{
public:
  MonoTime Now() const override { return std::chrono::steady_clock::now(); }

  WallTime WallNow() const override
  {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  }
};

/** \brief Monotonic clock that also advances while the host is suspended. */
class SuspendAwareClock final : public Clock
{
public:
  MonoTime Now() const override
  {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return MonoTime(std::chrono::seconds(now.tv_sec) +
                    std::chrono::nanoseconds(now.tv_nsec));
  }

  WallTime WallNow() const override { return SystemClock().WallNow(); }
};

/** \brief Clock that only Advance() moves; for tests and benchmarks. */
class ManualClock final : public Clock
{
public:
  MonoTime Now() const override { return m_now; }

  WallTime WallNow() const override
  {
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
      m_now.time_since_epoch()));
  }

  void Advance(Duration aStep) { m_now += aStep; }

private:
  MonoTime m_now{ std::chrono::hours(1) };
};

}

#endif
