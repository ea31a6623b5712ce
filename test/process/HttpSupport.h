#ifndef PISTACHIOSHIFT_TEST_PROCESS_HTTPSUPPORT_H
#define PISTACHIOSHIFT_TEST_PROCESS_HTTPSUPPORT_H

#include <cstdint>
#include <string>

namespace pistachioshift::test {

/** \brief Answer to a blocking HTTP call; status 0 if there was none. */
struct HttpReply
{
  int status = 0;
  std::string body;
};

/** \brief GET from 127.0.0.1; waits for the answer. */
HttpReply HttpGet(uint16_t aPort, const std::string& aPath);

/** \brief POST to 127.0.0.1; waits for the answer. */
HttpReply HttpPost(uint16_t aPort,
                   const std::string& aPath,
                   const std::string& aBody = "");

}

#endif
