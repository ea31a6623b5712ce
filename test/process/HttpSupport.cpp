#include "test/process/HttpSupport.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

namespace pistachioshift::test {

namespace {

constexpr int kTimeoutSeconds = 10;

struct Call
{
  event_base* base = nullptr;
  HttpReply reply;
};

void
OnAnswer(evhttp_request* aRequest, void* aArgument)
{
  auto* call = static_cast<Call*>(aArgument);
  if (aRequest != nullptr) {
    call->reply.status = evhttp_request_get_response_code(aRequest);
    evbuffer* input = evhttp_request_get_input_buffer(aRequest);
    call->reply.body.resize(evbuffer_get_length(input));
    evbuffer_remove(input, call->reply.body.data(), call->reply.body.size());
  }
  event_base_loopbreak(call->base);
}

HttpReply
Run(evhttp_cmd_type aMethod,
    uint16_t aPort,
    const std::string& aPath,
    const std::string& aBody)
{
  Call call;
  call.base = event_base_new();
  auto* connection =
    evhttp_connection_base_new(call.base, nullptr, "127.0.0.1", aPort);
  evhttp_connection_set_timeout(connection, kTimeoutSeconds);
  evhttp_request* request = evhttp_request_new(OnAnswer, &call);
  evhttp_add_header(
    evhttp_request_get_output_headers(request), "Host", "127.0.0.1");
  evbuffer_add(
    evhttp_request_get_output_buffer(request), aBody.data(), aBody.size());
  evhttp_make_request(connection, request, aMethod, aPath.c_str());
  event_base_dispatch(call.base);
  evhttp_connection_free(connection);
  event_base_free(call.base);
  return call.reply;
}

}

HttpReply
HttpGet(uint16_t aPort, const std::string& aPath)
{
  return Run(EVHTTP_REQ_GET, aPort, aPath, "");
}

HttpReply
HttpPost(uint16_t aPort, const std::string& aPath, const std::string& aBody)
{
  return Run(EVHTTP_REQ_POST, aPort, aPath, aBody);
}

}
