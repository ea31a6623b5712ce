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

/** \brief A request on the operators' port. */
struct OperatorRequest
{
  bool isPost = false;
  std::map<std::string, std::string> query;

  /** \brief Value of a query field; empty if it is missing. */
  std::string Field(const std::string& aName) const;
};

struct OperatorAnswer
{
  int status = 200;
  std::string type = "application/json";
  std::string body;
};

/**
 * \brief HTTP server on the operators' port, for metrics, status and commands.
 *
 * Answers 404 for a path without a handler, and 500 with the error's text if a
 * handler throws.
 */
class OperatorTask
{
public:
  using Handler = std::function<OperatorAnswer(const OperatorRequest&)>;

  /** \throws DaemonError if the endpoint can't be bound. */
  OperatorTask(event_base* aBase, const Endpoint& aEndpoint);
  ~OperatorTask();
  OperatorTask(const OperatorTask&) = delete;
  OperatorTask& operator=(const OperatorTask&) = delete;

  /** \brief Registers the handler for GET requests of a path. */
  void OnGet(const std::string& aPath, Handler aHandler);

  /** \brief Registers the handler for POST requests of a path. */
  void OnPost(const std::string& aPath, Handler aHandler);

private:
  void Answer(evhttp_request* aRequest);

  evhttp* m_http;
  std::map<std::string, Handler> m_gets;
  std::map<std::string, Handler> m_posts;
};

}

#endif
