#ifndef PISTACHIOSHIFT_STANDIN_LOG_EXCHANGE_H
#define PISTACHIOSHIFT_STANDIN_LOG_EXCHANGE_H

#include <memory>
#include <string>

#include <event2/http.h>

namespace pistachioshift::standin {

/**
 * \brief An HTTP request that may be answered after its handler returned.
 *
 * Outlives its connection: once that is closed, Reply and Drop do nothing.
 */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  /** \brief Takes over a request that was received completely. */
  static std::shared_ptr<Exchange> Start(evhttp_request* aRequest);

  void Reply(int aStatus, const std::string& aBody);

  /** \brief Closes the connection without an answer. */
  void Drop();

private:
  explicit Exchange(evhttp_request* aRequest);

  static void OnClose(evhttp_connection* aConnection, void* aArgument);

  evhttp_request* m_request;
  evhttp_connection* m_connection;
  std::shared_ptr<Exchange> m_self; ///< Set until answered or closed.
};

}

#endif
