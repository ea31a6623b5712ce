#ifndef PISTACHIOSHIFT_STANDIN_LOG_EXCHANGE_H
#define PISTACHIOSHIFT_STANDIN_LOG_EXCHANGE_H

#include <memory>
#include <string>

#include <event2/http.h>

namespace pistachioshift::standin {

/**
 * \brief One request that may be answered later; outlives its connection.
 *
 * Sends nothing once the connection is gone.
 */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  /** \brief Takes over a request that was read whole. */
  static std::shared_ptr<Exchange> Start(evhttp_request* aRequest);

  void Reply(int aStatus, const std::string& aBody);

  /** \brief Closes the connection without an answer. */
  void Drop();

private:
  explicit Exchange(evhttp_request* aRequest);

  static void OnClose(evhttp_connection* aConnection, void* aArgument);

  evhttp_request* m_request;
  evhttp_connection* m_connection;
  std::shared_ptr<Exchange> m_self; ///< Held until answered or closed.
};

}

#endif
