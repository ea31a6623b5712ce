#ifndef PISTACHIOSHIFT_CTL_EVENTLOOP_H
#define PISTACHIOSHIFT_CTL_EVENTLOOP_H

#include <functional>
#include <memory>

#include <event2/event.h>

#include "src/Base/Clock.h"

namespace pistachioshift {

/** \brief A libevent loop that a command runs until it has its answer. */
class EventLoop
{
public:
  /** \throws CtlError */
  EventLoop();

  event_base* Base() const { return m_base.get(); }

  /**
   * \brief Handles events until the condition holds or the time is over.
   * \return whether the condition holds.
   */
  bool RunUntil(const std::function<bool()>& aCondition, Duration aLongest);

private:
  std::unique_ptr<event_base, decltype(&event_base_free)> m_base;
};

}

#endif
