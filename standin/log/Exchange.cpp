#include "standin/log/Exchange.h"

#include <event2/buffer.h>

namespace pistachioshift::standin {

std::shared_ptr<Exchange>
Exchange::Start(evhttp_request* aRequest)
{
  auto exchange = std::shared_ptr<Exchange>(new Exchange(aRequest));
  exchange->m_self = exchange;
  evhttp_connection_set_closecb(
    exchange->m_connection, OnClose, exchange.get());
  return exchange;
}

Exchange::Exchange(evhttp_request* aRequest)
  : m_request(aRequest)
  , m_connection(evhttp_request_get_connection(aRequest))
{
}

void
Exchange::Reply(int aStatus, const std::string& aBody)
{
  if (m_request == nullptr) {
    return;
  }
  evhttp_request* request = m_request;
  m_request = nullptr;
  evhttp_connection_set_closecb(m_connection, nullptr, nullptr);
  evbuffer* output = evhttp_request_get_output_buffer(request);
  evbuffer_add(output, aBody.data(), aBody.size());
  evhttp_send_reply(request, aStatus, nullptr, nullptr);
  m_self.reset();
}

void
Exchange::Drop()
{
  if (m_request == nullptr) {
    return;
  }
  m_request = nullptr;
  evhttp_connection_set_closecb(m_connection, nullptr, nullptr);
  evhttp_connection_free(m_connection);
  m_self.reset();
}

void
Exchange::OnClose(evhttp_connection*, void* aArgument)
{
  auto* exchange = static_cast<Exchange*>(aArgument);
  exchange->m_request = nullptr;
  exchange->m_self.reset();
}

}
