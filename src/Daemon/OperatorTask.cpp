#include "src/Daemon/OperatorTask.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>

#include "src/Daemon/DaemonError.h"

namespace pistachioshift {

namespace {

constexpr ev_ssize_t kMaxHeaderBytes = ev_ssize_t{ 16 } * 1024;
constexpr ev_ssize_t kMaxBodyBytes = ev_ssize_t{ 64 } * 1024;
constexpr int kStatusNotFound = 404;
constexpr int kStatusFailed = 500;

std::map<std::string, std::string>
ReadQuery(const evhttp_uri* aUri)
{
  std::map<std::string, std::string> query;
  evkeyvalq fields{};
  const auto* text = evhttp_uri_get_query(aUri);
  if (text == nullptr || evhttp_parse_query_str(text, &fields) != 0) {
    return query;
  }
  for (auto* field = fields.tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    query[field->key] = field->value;
  }
  evhttp_clear_headers(&fields);
  return query;
}

}

std::string
OperatorRequest::Field(const std::string& aName) const
{
  const auto found = query.find(aName);
  return found == query.end() ? std::string() : found->second;
}

OperatorTask::OperatorTask(event_base* aBase, const Endpoint& aEndpoint)
  : m_http(evhttp_new(aBase))
{
  evhttp_set_max_headers_size(m_http, kMaxHeaderBytes);
  evhttp_set_max_body_size(m_http, kMaxBodyBytes);
  evhttp_set_allowed_methods(m_http, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
  evhttp_set_gencb(
    m_http,
    [](evhttp_request* aRequest, void* aSelf) {
      static_cast<OperatorTask*>(aSelf)->Answer(aRequest);
    },
    this);
  if (evhttp_bind_socket(m_http, aEndpoint.address.c_str(), aEndpoint.port) !=
      0) {
    evhttp_free(m_http);
    throw DaemonError(fmt::format("cannot bind the operators' endpoint {}:{}",
                                  aEndpoint.address,
                                  aEndpoint.port));
  }
}

OperatorTask::~OperatorTask()
{
  evhttp_free(m_http);
}

void
OperatorTask::OnGet(const std::string& aPath, Handler aHandler)
{
  m_gets[aPath] = std::move(aHandler);
}

void
OperatorTask::OnPost(const std::string& aPath, Handler aHandler)
{
  m_posts[aPath] = std::move(aHandler);
}

void
OperatorTask::Answer(evhttp_request* aRequest)
{
  const auto* uri = evhttp_request_get_evhttp_uri(aRequest);
  const auto* path = evhttp_uri_get_path(uri);
  OperatorRequest request;
  request.isPost = evhttp_request_get_command(aRequest) == EVHTTP_REQ_POST;
  request.query = ReadQuery(uri);
  const auto& handlers = request.isPost ? m_posts : m_gets;
  const auto found = handlers.find(path == nullptr ? "" : path);
  OperatorAnswer answer;
  if (found == handlers.end()) {
    answer = { kStatusNotFound, "text/plain", "no such page\n" };
  } else {
    try {
      answer = found->second(request);
    } catch (const std::exception& error) {
      answer = { kStatusFailed, "text/plain", error.what() };
    }
  }
  evhttp_add_header(evhttp_request_get_output_headers(aRequest),
                    "Content-Type",
                    answer.type.c_str());
  auto* body = evbuffer_new();
  evbuffer_add(body, answer.body.data(), answer.body.size());
  evhttp_send_reply(aRequest, answer.status, nullptr, body);
  evbuffer_free(body);
}

}
