#include "src/Ctl/EventLoop.h"

#include "src/Ctl/CtlError.h"
#include "src/Inner/SocketAddress.h"

namespace pistachioshift {

namespace {

void
SetFlag(evutil_socket_t, short, void* aFlag)
{
  *static_cast<bool*>(aFlag) = true;
}

}

EventLoop::EventLoop()
  : m_base(event_base_new(), &event_base_free)
{
  if (!m_base) {
    throw CtlError("no event loop can be started");
  }
}

bool
EventLoop::RunUntil(const std::function<bool()>& aCondition, Duration aLongest)
{
  bool expired = false;
  const std::unique_ptr<event, decltype(&event_free)> timer(
    evtimer_new(m_base.get(), &SetFlag, &expired), &event_free);
  const auto interval = internal::ToTimeval(aLongest);
  evtimer_add(timer.get(), &interval);
  while (!aCondition() && !expired) {
    event_base_loop(m_base.get(), EVLOOP_ONCE);
  }
  return aCondition();
}

}
