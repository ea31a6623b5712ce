#include "src/Daemon/Timer.h"

#include <algorithm>

#include <event2/event.h>

#include "src/Daemon/DaemonError.h"

namespace pistachioshift {

Timer::Timer(event_base* aBase, Callback aCallback)
  : m_event(evtimer_new(
      aBase,
      [](evutil_socket_t, short, void* aSelf) {
        static_cast<Timer*>(aSelf)->OnExpired();
      },
      this))
  , m_callback(std::move(aCallback))
{
  if (m_event == nullptr) {
    throw DaemonError("cannot create a timer");
  }
}

Timer::~Timer()
{
  event_free(m_event);
}

void
Timer::StartOnce(Duration aDelay)
{
  Start(aDelay, false);
}

void
Timer::StartEvery(Duration aInterval)
{
  Start(aInterval, true);
}

void
Timer::Stop()
{
  m_running = false;
  event_del(m_event);
}

void
Timer::Start(Duration aDelay, bool aRepeat)
{
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  using std::chrono::seconds;
  m_interval = std::max(aDelay, Duration::zero());
  m_repeat = aRepeat;
  m_running = true;
  const auto whole = duration_cast<seconds>(m_interval);
  const auto rest = duration_cast<microseconds>(m_interval - whole);
  timeval delay{};
  delay.tv_sec = whole.count();
  delay.tv_usec = rest.count();
  evtimer_add(m_event, &delay);
}

void
Timer::OnExpired()
{
  m_running = false;
  if (m_repeat) {
    Start(m_interval, true);
  }
  // The callback may destroy this timer, so it is called last.
  const auto callback = m_callback;
  callback();
}

}
