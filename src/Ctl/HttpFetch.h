#ifndef PISTACHIOSHIFT_CTL_HTTPFETCH_H
#define PISTACHIOSHIFT_CTL_HTTPFETCH_H

#include <string>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"

namespace pistachioshift {

enum class HttpVerb
{
  kGet,
  kPost,
};

/** \brief A request without a body to an operators' port. */
struct HttpQuestion
{
  Endpoint endpoint;
  HttpVerb verb = HttpVerb::kGet;
  std::string target; ///< Path and query.
};

/** \brief The answer; status 0 if there was none in time. */
struct HttpAnswer
{
  int status = 0;
  std::string body;
};

/** \brief Asks all at once, a bounded number at a time; in their order. */
std::vector<HttpAnswer> FetchAll(const std::vector<HttpQuestion>& aQuestions,
                                 Duration aTimeout);

/** \brief Asks one; throws UnreachableError without an answer. */
HttpAnswer Fetch(const HttpQuestion& aQuestion, Duration aTimeout);

/** \brief Percent-encodes a value for a query. */
std::string EncodeQueryValue(const std::string& aText);

}

#endif
