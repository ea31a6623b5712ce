#ifndef PISTACHIOSHIFT_STANDIN_LOG_LOGSERVER_H
#define PISTACHIOSHIFT_STANDIN_LOG_LOGSERVER_H

#include <functional>
#include <list>
#include <memory>
#include <string>

#include <event2/event.h>
#include <event2/http.h>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Log/LogService.h"
#include "standin/log/Exchange.h"
#include "standin/log/Faults.h"
#include "standin/log/StreamStore.h"

namespace pistachioshift::standin {

/** \brief Settings of the log service stand-in. */
struct LogServerOptions
{
  Endpoint endpoint{ "127.0.0.1", 0 };
  Retention retention;
  uint32_t appendsPerSecond = 0; ///< More get 429; 0 means no limit.
};

/** \brief Counts since the start, returned by GET /stats. */
struct LogServerStats
{
  uint64_t appends = 0;
  uint64_t records = 0;
  uint64_t reads = 0;
  uint64_t overLimit = 0;
  uint64_t faults = 0;
};

/**
 * \brief HTTP server that stands in for the log service.
 *
 * POST /streams/{name}/records, GET /streams/{name}/records, POST /faults,
 * GET /stats.
 */
class LogServer
{
public:
  LogServer(event_base* aBase,
            const Clock& aClock,
            const LogServerOptions& aOptions);
  ~LogServer();
  LogServer(const LogServer&) = delete;
  LogServer& operator=(const LogServer&) = delete;

  uint16_t Port() const { return m_port; }

private:
  /** A read that waits for a record until its deadline. */
  struct PendingRead
  {
    std::shared_ptr<Exchange> exchange;
    StreamName stream;
    Offset from;
    size_t maxRecords = 0;
    MonoTime deadline;
  };

  static void OnRequest(evhttp_request* aRequest, void* aArgument);
  static void OnPendingReadTimer(evutil_socket_t, short, void* aArgument);

  void Handle(evhttp_request* aRequest);
  void HandleRecords(evhttp_request* aRequest, const StreamName& aStream);
  void HandleFault(evhttp_request* aRequest);
  void HandleStats(evhttp_request* aRequest);
  void HandleAppend(evhttp_request* aRequest, const StreamName& aStream);
  void HandleRead(evhttp_request* aRequest, const StreamName& aStream);

  /** Returns the fault to apply to a request, and counts it as used. */
  FaultMode ConsumeFault(bool aIsAppend);
  void RunAfter(Duration aDelay, std::function<void()> aAction);
  /** Returns false if the append rate is exceeded. */
  bool ConsumeAppendToken();
  void Append(const std::shared_ptr<Exchange>& aExchange,
              const StreamName& aStream,
              std::vector<std::string> aPayloads,
              bool aLoseAnswer);
  void Read(PendingRead aRead);
  /** Returns false if the read must go on waiting. */
  bool TryAnswerRead(const PendingRead& aRead);
  void CompletePendingReads();

  event_base* m_base;
  const Clock& m_clock;
  LogServerOptions m_options;
  StreamStore m_store;
  evhttp* m_http;
  event* m_pendingReadTimer;
  uint16_t m_port = 0;
  Fault m_fault;
  LogServerStats m_stats;
  std::list<PendingRead> m_pendingReads;
  double m_tokens = 0;
  MonoTime m_tokensUpdatedAt;
};

}

#endif
