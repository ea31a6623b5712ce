#ifndef PISTACHIOSHIFT_TEST_PROCESS_HTTPSUPPORT_H
#define PISTACHIOSHIFT_TEST_PROCESS_HTTPSUPPORT_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pistachioshift::test {

/** \brief Answer to a blocking HTTP call; status 0 if there was none. */
struct HttpReply
{
  int status = 0;
  bool connected = false; ///< False: nothing was sent.
  bool whole = false;     ///< The body came to its stated end.
  std::string body;       ///< Empty if the call had its own reader.
  std::string outcome;    ///< Pistachio-Outcome.
  std::string reason;     ///< Pistachio-Reason.
  std::string owner;      ///< Pistachio-Owner.
  std::string storeEra;   ///< Store-Era.
};

/** \brief A request to 127.0.0.1. */
struct HttpCall
{
  uint16_t port = 0;
  std::string path;
  bool isPost = false;
  std::string_view body; ///< Not copied.
  std::vector<std::pair<std::string, std::string>> headers;
  /** \brief Takes the parts of the body; may sleep to read slowly. */
  std::function<void(std::string_view)> onBody;
  std::chrono::seconds timeout{ 10 };
};

/** \brief Sends on a new connection; waits for the answer. */
HttpReply HttpSend(const HttpCall& aCall);

/** \brief GET from 127.0.0.1; waits for the answer. */
HttpReply HttpGet(uint16_t aPort, const std::string& aPath);

/** \brief POST to 127.0.0.1; waits for the answer. */
HttpReply HttpPost(uint16_t aPort,
                   const std::string& aPath,
                   const std::string& aBody = "");

}

#endif
