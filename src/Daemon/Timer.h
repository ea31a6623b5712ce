#ifndef PISTACHIOSHIFT_DAEMON_TIMER_H
#define PISTACHIOSHIFT_DAEMON_TIMER_H

#include <functional>

#include "src/Base/Clock.h"

struct event;
struct event_base;

namespace pistachioshift {

/** \brief Timer on a libevent loop; destroying it stops it. */
class Timer
{
public:
  using Callback = std::function<void()>;

  Timer(event_base* aBase, Callback aCallback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /** \brief Runs the callback once after a delay; cancels an earlier start. */
  void StartOnce(Duration aDelay);

  /** \brief Runs the callback after each interval until Stop(). */
  void StartEvery(Duration aInterval);

  void Stop();
  bool Running() const { return m_running; }

private:
  void Start(Duration aDelay, bool aRepeat);
  void OnExpired();

  event* m_event;
  Callback m_callback;
  Duration m_interval{};
  bool m_repeat = false;
  bool m_running = false;
};

}

#endif
