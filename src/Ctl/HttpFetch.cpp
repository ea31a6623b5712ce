#include "src/Ctl/HttpFetch.h"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <memory>

#include <event2/buffer.h>
#include <event2/http.h>
#include <fmt/format.h>

#include "src/Ctl/CtlError.h"
#include "src/Ctl/EventLoop.h"

namespace pistachioshift {

namespace {

constexpr size_t kQuestionsAtOnce = 32;

class FetchTask
{
public:
  FetchTask(event_base* aBase, const HttpQuestion& aQuestion, Duration aTimeout)
    : m_connection(
        evhttp_connection_base_new(aBase,
                                   nullptr,
                                   aQuestion.endpoint.address.c_str(),
                                   aQuestion.endpoint.port),
        &evhttp_connection_free)
  {
    if (!m_connection) {
      throw CtlError("no HTTP connection can be made");
    }
    const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(aTimeout).count();
    evhttp_connection_set_timeout(m_connection.get(),
                                  static_cast<int>(seconds));
    Start(aQuestion);
  }

  bool Done() const { return m_done; }
  const HttpAnswer& Answer() const { return m_answer; }

private:
  void Start(const HttpQuestion& aQuestion)
  {
    auto* request = evhttp_request_new(&FetchTask::OnAnswer, this);
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Host",
                      aQuestion.endpoint.address.c_str());
    const auto verb =
      aQuestion.verb == HttpVerb::kGet ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
    const int status = evhttp_make_request(
      m_connection.get(), request, verb, aQuestion.target.c_str());
    m_done = m_done || status != 0;
  }

  static void OnAnswer(evhttp_request* aRequest, void* aSelf)
  {
    static_cast<FetchTask*>(aSelf)->TakeAnswer(aRequest);
  }

  void TakeAnswer(evhttp_request* aRequest)
  {
    m_done = true;
    if (!aRequest) {
      return;
    }
    m_answer.status = evhttp_request_get_response_code(aRequest);
    auto* body = evhttp_request_get_input_buffer(aRequest);
    m_answer.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, m_answer.body.data(), m_answer.body.size());
  }

  bool m_done = false;
  HttpAnswer m_answer;
  std::unique_ptr<evhttp_connection, decltype(&evhttp_connection_free)>
    m_connection;
};

using Batch = std::deque<FetchTask>;

bool
AllDone(const Batch& aBatch)
{
  return std::all_of(aBatch.begin(), aBatch.end(), [](const FetchTask& aTask) {
    return aTask.Done();
  });
}

}

std::vector<HttpAnswer>
FetchAll(const std::vector<HttpQuestion>& aQuestions, Duration aTimeout)
{
  EventLoop loop;
  std::vector<HttpAnswer> answers;
  while (answers.size() < aQuestions.size()) {
    Batch batch;
    const auto end =
      std::min(aQuestions.size(), answers.size() + kQuestionsAtOnce);
    for (size_t at = answers.size(); at < end; ++at) {
      batch.emplace_back(loop.Base(), aQuestions[at], aTimeout);
    }
    loop.RunUntil([&batch] { return AllDone(batch); }, aTimeout);
    for (const auto& task : batch) {
      answers.push_back(task.Answer());
    }
  }
  return answers;
}

HttpAnswer
Fetch(const HttpQuestion& aQuestion, Duration aTimeout)
{
  auto answer = FetchAll({ aQuestion }, aTimeout).front();
  if (answer.status == 0) {
    throw UnreachableError(fmt::format("the daemon at {}:{} gave no answer",
                                       aQuestion.endpoint.address,
                                       aQuestion.endpoint.port));
  }
  return answer;
}

std::string
EncodeQueryValue(const std::string& aText)
{
  const std::unique_ptr<char, decltype(&free)> encoded(
    evhttp_uriencode(aText.data(), static_cast<ev_ssize_t>(aText.size()), 0),
    &free);
  return encoded ? std::string(encoded.get()) : std::string();
}

}
