#ifndef PISTACHIOSHIFT_LOG_HTTPLOGSERVICE_H
#define PISTACHIOSHIFT_LOG_HTTPLOGSERVICE_H

#include <memory>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Log/LogService.h"

struct event_base;

namespace pistachioshift {

/** \brief Settings of a HttpLogService. */
struct HttpLogOptions
{
  Endpoint endpoint;
  Duration timeout = std::chrono::seconds(5);     ///< Beyond a read's own wait.
  Duration maxTimeout = std::chrono::seconds(30); ///< When the log is slow.
};

/**
 * \brief The log service over HTTP, as the stand-in serves it.
 *
 * Each call uses a connection of its own, so that one that went silent costs
 * a single call. The timeout doubles with each call that gets no answer and
 * falls back slowly, so that a slow log service still serves.
 *
 * To be used on the thread of its event loop only.
 * \sa LogService
 */
class HttpLogService final : public LogService
{
public:
  HttpLogService(event_base* aBase, HttpLogOptions aOptions);
  ~HttpLogService() override;
  HttpLogService(const HttpLogService&) = delete;
  HttpLogService& operator=(const HttpLogService&) = delete;

  void Append(const StreamName& aStream,
              std::vector<std::string> aPayloads,
              AppendCallback aCallback) override;

  void Read(const StreamName& aStream,
            Offset aFrom,
            uint32_t aMaxRecords,
            Duration aWait,
            ReadCallback aCallback) override;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}

#endif
