#ifndef PISTACHIOSHIFT_HTTP_INTERNAL_CLIENTSTATE_H
#define PISTACHIOSHIFT_HTTP_INTERNAL_CLIENTSTATE_H

#include <memory>
#include <string>

#include "src/Http/Client.h"
#include "src/Http/internal/EventHandles.h"
#include "src/Http/internal/MessageWriter.h"

namespace pistachioshift::internal {

class ClientConnection;
class ClientCore;

/** What an exchange keeps; released when it ends. */
struct ClientState
{
  std::string head;    ///< As it will be written.
  bool isHead = false; ///< Method HEAD: the answer has no body.
  std::shared_ptr<ClientListener> listener;
  HttpClientPool::BeforeWrite beforeWrite;
  std::weak_ptr<ClientCore> core;
  std::shared_ptr<ClientConnection> connection; ///< Once written.
  BodyWriter body;
  BufferPtr pending{ evbuffer_new() }; ///< Body before the head is written.
  size_t outputHighWatermark = 0;
  bool written = false; ///< A byte of the request has been written.
  bool finished = false;
  bool paused = false;
  bool outputFull = false;
  bool rejected = false; ///< Ends with a failure from the event loop.

  /** Ends the exchange: breaks all cycles and hands the listener out. */
  std::shared_ptr<ClientListener> End()
  {
    connection.reset();
    beforeWrite = nullptr;
    return std::move(listener);
  }
};

}

#endif
