#ifndef PISTACHIOSHIFT_HTTP_INTERNAL_EVENTHANDLES_H
#define PISTACHIOSHIFT_HTTP_INTERNAL_EVENTHANDLES_H

#include <memory>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sys/time.h>

#include "src/Base/SocketAddress.h"

namespace pistachioshift::internal {

template<auto Free>
struct FreeWith
{
  template<class T>
  void operator()(T* aObject) const
  {
    Free(aObject);
  }
};

using EventPtr = std::unique_ptr<event, FreeWith<event_free>>;
using BufferEventPtr = std::unique_ptr<bufferevent, FreeWith<bufferevent_free>>;
using BufferPtr = std::unique_ptr<evbuffer, FreeWith<evbuffer_free>>;
using ListenerPtr =
  std::unique_ptr<evconnlistener, FreeWith<evconnlistener_free>>;

}

#endif
