#include "test/process/HttpSupport.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

namespace pistachioshift::test {

namespace {

struct Exchange
{
  event_base* base = nullptr;
  const HttpCall* call = nullptr;
  HttpReply reply;
};

std::string
TakeInput(evhttp_request* aRequest)
{
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  return bytes;
}

std::string
FieldOfAnswer(evhttp_request* aRequest, const char* aName)
{
  const auto* fields = evhttp_request_get_input_headers(aRequest);
  const char* value = evhttp_find_header(fields, aName);
  return value == nullptr ? "" : value;
}

// libevent calls with a request without status if it could not connect, and
// without a request if the connection failed afterwards.
void
OnAnswer(evhttp_request* aRequest, void* aArgument)
{
  auto* exchange = static_cast<Exchange*>(aArgument);
  auto& reply = exchange->reply;
  reply.connected = aRequest == nullptr;
  if (aRequest != nullptr && evhttp_request_get_response_code(aRequest) != 0) {
    reply.connected = true;
    reply.whole = true;
    reply.status = evhttp_request_get_response_code(aRequest);
    reply.outcome = FieldOfAnswer(aRequest, "Pistachio-Outcome");
    reply.reason = FieldOfAnswer(aRequest, "Pistachio-Reason");
    reply.owner = FieldOfAnswer(aRequest, "Pistachio-Owner");
    reply.storeEra = FieldOfAnswer(aRequest, "Store-Era");
    reply.body = TakeInput(aRequest);
  }
  event_base_loopbreak(exchange->base);
}

void
OnPart(evhttp_request* aRequest, void* aArgument)
{
  static_cast<Exchange*>(aArgument)->call->onBody(TakeInput(aRequest));
}

evhttp_request*
MakeRequest(const HttpCall& aCall, Exchange& aExchange)
{
  evhttp_request* request = evhttp_request_new(OnAnswer, &aExchange);
  if (aCall.onBody) {
    evhttp_request_set_chunked_cb(request, OnPart);
  }
  auto* fields = evhttp_request_get_output_headers(request);
  for (const auto& [name, value] : aCall.headers) {
    evhttp_add_header(fields, name.c_str(), value.c_str());
  }
  if (evhttp_find_header(fields, "Host") == nullptr) {
    evhttp_add_header(fields, "Host", "127.0.0.1");
  }
  evbuffer_add_reference(evhttp_request_get_output_buffer(request),
                         aCall.body.data(),
                         aCall.body.size(),
                         nullptr,
                         nullptr);
  return request;
}

}

HttpReply
HttpSend(const HttpCall& aCall)
{
  Exchange exchange;
  exchange.base = event_base_new();
  exchange.call = &aCall;
  auto* connection =
    evhttp_connection_base_new(exchange.base, nullptr, "127.0.0.1", aCall.port);
  evhttp_connection_set_timeout(connection,
                                static_cast<int>(aCall.timeout.count()));
  evhttp_make_request(connection,
                      MakeRequest(aCall, exchange),
                      aCall.isPost ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
                      aCall.path.c_str());
  event_base_dispatch(exchange.base);
  evhttp_connection_free(connection);
  event_base_free(exchange.base);
  return exchange.reply;
}

HttpReply
HttpGet(uint16_t aPort, const std::string& aPath)
{
  return HttpSend({ .port = aPort, .path = aPath });
}

HttpReply
HttpPost(uint16_t aPort, const std::string& aPath, const std::string& aBody)
{
  return HttpSend(
    { .port = aPort, .path = aPath, .isPost = true, .body = aBody });
}

}
