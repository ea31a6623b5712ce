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

/** \brief Settings of the stand-in. */
struct LogServerOptions
{
  Endpoint endpoint{ "127.0.0.1", 0 };
  Retention retention;
  uint32_t appendsPerSecond = 0; ///< Above it 429; 0 sets no limit.
};

/** \brief Counts since the start; shown at /stats. */
struct LogServerStats
{
  uint64_t appends = 0;
  uint64_t records = 0;
  uint64_t reads = 0;
  uint64_t overLimit = 0;
  uint64_t faults = 0;
};

/**
 * \brief The stand-in of the log service over HTTP.
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
  struct Waiting
  {
    std::shared_ptr<Exchange> exchange;
    StreamName stream;
    Offset from;
    size_t maxRecords = 0;
    MonoTime until;
  };

  static void OnRequest(evhttp_request* aRequest, void* aArgument);
  static void OnTick(evutil_socket_t, short, void* aArgument);

  void Handle(evhttp_request* aRequest);
  void HandleRecords(evhttp_request* aRequest, const StreamName& aStream);
  void HandleFault(evhttp_request* aRequest);
  void HandleStats(evhttp_request* aRequest);
  void HandleAppend(evhttp_request* aRequest, const StreamName& aStream);
  void HandleRead(evhttp_request* aRequest, const StreamName& aStream);

  FaultMode TakeFault(bool aIsAppend);
  void After(Duration aDelay, std::function<void()> aAction);
  bool TakeAppendToken();
  void Append(const std::shared_ptr<Exchange>& aExchange,
              const StreamName& aStream,
              std::vector<std::string> aPayloads,
              bool aLoseAnswer);
  void Read(Waiting aWaiting);
  bool AnswerRead(const Waiting& aWaiting);
  void AnswerWaiting();

  event_base* m_base;
  const Clock& m_clock;
  LogServerOptions m_options;
  StreamStore m_store;
  evhttp* m_http;
  event* m_tick;
  uint16_t m_port = 0;
  Fault m_fault;
  LogServerStats m_stats;
  std::list<Waiting> m_waiting;
  double m_tokens = 0;
  MonoTime m_tokensAt;
};

}

#endif
