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
  Endpoint endpoint;                              ///< By IP address.
  Duration timeout = std::chrono::seconds(5);     ///< Plus a read's wait time.
  Duration maxTimeout = std::chrono::seconds(30); ///< While the log is slow.
};

/**
 * \brief Client of the log service over HTTP, with the protocol of the
 * stand-in for the platform's log service.
 *
 * Each call uses its own connection, so that a connection that stops
 * responding fails one call only. The timeout doubles with each unanswered
 * call and decreases slowly with answered ones, so that calls to a slow log
 * service succeed.
 *
 * Not thread-safe: to be used on the thread of its event loop only.
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
