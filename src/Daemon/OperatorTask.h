#ifndef PISTACHIOSHIFT_DAEMON_OPERATORTASK_H
#define PISTACHIOSHIFT_DAEMON_OPERATORTASK_H

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "src/Base/Ids.h"

struct event_base;
struct evhttp;
struct evhttp_request;

namespace pistachioshift {

/** \brief An operator's request. */
struct OperatorRequest
{
  bool isPost = false;
  std::map<std::string, std::string> query;

  /** \brief Value of a query field, empty if missing. */
  std::string Field(const std::string& aName) const;
};

struct OperatorAnswer
{
  int status = 200;
  std::string type = "application/json";
  std::string body;
};

/** \brief HTTP on the operators' port: metrics, status and commands. */
class OperatorTask
{
public:
  using Handler = std::function<OperatorAnswer(const OperatorRequest&)>;

  /** \throws DaemonError if the endpoint can't be bound. */
  OperatorTask(event_base* aBase, const Endpoint& aEndpoint);
  ~OperatorTask();
  OperatorTask(const OperatorTask&) = delete;
  OperatorTask& operator=(const OperatorTask&) = delete;

  /** \brief Answers GET requests of a path. */
  void OnGet(const std::string& aPath, Handler aHandler);

  /** \brief Answers POST requests of a path. */
  void OnPost(const std::string& aPath, Handler aHandler);

private:
  void Answer(evhttp_request* aRequest);

  evhttp* m_http;
  std::map<std::string, Handler> m_gets;
  std::map<std::string, Handler> m_posts;
};

}

#endif
