#include "src/Log/LogTask.h"

#include <algorithm>
#include <unordered_map>

#include <event2/event.h>

#include "src/Log/StreamClient.h"

namespace pistachioshift {

namespace {

StreamClientOptions
ToClientOptions(const LogTaskOptions& aOptions)
{
  StreamClientOptions options;
  options.appender.writer = aOptions.writer;
  options.appender.minInterval = aOptions.minAppendInterval;
  options.appender.minBackoff = aOptions.minBackoff;
  options.appender.maxBackoff = aOptions.maxBackoff;
  options.checkpoints.interval = aOptions.checkpointInterval;
  options.checkpoints.records = aOptions.checkpointRecords;
  options.writesCheckpoints = aOptions.writesCheckpoints;
  options.longPoll = aOptions.longPoll;
  options.maxCachedBytes = aOptions.maxCachedBytes;
  return options;
}

timeval
ToTimeval(Duration aDuration)
{
  using std::chrono::microseconds;
  using std::chrono::seconds;
  // Rounded up: a timer that fires before its due time would be set again and
  // again.
  const auto micros = std::chrono::ceil<microseconds>(aDuration);
  const auto whole = std::chrono::floor<seconds>(micros);
  timeval value{};
  value.tv_sec = whole.count();
  value.tv_usec = microseconds(micros - whole).count();
  return value;
}

}

class LogTask::Impl : public std::enable_shared_from_this<LogTask::Impl>
{
public:
  Impl(event_base* aBase,
       LogService& aService,
       const Clock& aClock,
       RandomEngine aRandom,
       LogTaskOptions aOptions,
       LogTaskHandlers aHandlers)
    : m_service(aService)
    , m_clock(aClock)
    , m_options(std::move(aOptions))
    , m_timer(event_new(aBase, -1, 0, OnTimer, this))
    , m_client(ToClientOptions(m_options),
               ToClientHandlers(std::move(aHandlers)),
               aRandom)
  {
  }

  ~Impl() { event_free(m_timer); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  // Schedules Run on the event loop, so that no handler is called from within
  // the user's call.
  void ScheduleRun() { event_active(m_timer, EV_TIMEOUT, 0); }

  void Start()
  {
    m_started = true;
    ScheduleRun();
  }

  RecordId Submit(std::string aBody,
                  SubmitCallback aCallback,
                  MonoTime aDeadline)
  {
    const RecordId id = m_client.Submit(std::move(aBody), aDeadline);
    m_callbacks.emplace(id, std::move(aCallback));
    ScheduleRun();
    return id;
  }

  void ApplyPeerEntries(const std::vector<LogEntry>& aEntries)
  {
    m_client.OnPeerEntries(aEntries, m_clock.Now());
    ScheduleRun();
  }

  const StreamClient& Client() const { return m_client; }

private:
  StreamHandlers ToClientHandlers(LogTaskHandlers aHandlers)
  {
    StreamHandlers handlers;
    handlers.record = std::move(aHandlers.record);
    handlers.saveState = std::move(aHandlers.saveState);
    handlers.loadState = std::move(aHandlers.loadState);
    handlers.caughtUp = std::move(aHandlers.caughtUp);
    handlers.completed = [this](const Completion& aCompletion) {
      Complete(aCompletion);
    };
    return handlers;
  }

  void Complete(const Completion& aCompletion)
  {
    const auto found = m_callbacks.find(aCompletion.id);
    if (found == m_callbacks.end()) {
      return;
    }
    const auto callback = std::move(found->second);
    m_callbacks.erase(found);
    if (callback) {
      callback(aCompletion.id, aCompletion.result);
    }
  }

  static void OnTimer(evutil_socket_t, short, void* aArgument)
  {
    static_cast<Impl*>(aArgument)->Run();
  }

  void Run()
  {
    if (!m_started) {
      return;
    }
    m_client.OnTimer(m_clock.Now());
    StartAppend();
    StartRead();
    ArmTimer();
  }

  void StartAppend()
  {
    auto payloads = m_client.StartAppend(m_clock.Now());
    if (!payloads) {
      return;
    }
    m_service.Append(m_options.stream,
                     std::move(*payloads),
                     [weak = weak_from_this()](const AppendResult& aResult) {
                       if (const auto self = weak.lock()) {
                         self->m_client.OnAppend(aResult, self->m_clock.Now());
                         self->Run();
                       }
                     });
  }

  void StartRead()
  {
    const auto request = m_client.StartRead(m_clock.Now());
    if (!request) {
      return;
    }
    m_service.Read(m_options.stream,
                   request->from,
                   request->maxRecords,
                   request->wait,
                   [weak = weak_from_this(),
                    number = request->number](const ReadResult& aResult) {
                     if (const auto self = weak.lock()) {
                       self->m_client.OnRead(
                         number, aResult, self->m_clock.Now());
                       self->Run();
                     }
                   });
  }

  void ArmTimer()
  {
    const MonoTime wake = m_client.NextWake();
    if (wake == MonoTime::max()) {
      event_del(m_timer);
      return;
    }
    const MonoTime now = m_clock.Now();
    const timeval delay = ToTimeval(wake > now ? wake - now : Duration{});
    event_add(m_timer, &delay);
  }

  LogService& m_service;
  const Clock& m_clock;
  LogTaskOptions m_options;
  event* m_timer;
  std::unordered_map<RecordId, SubmitCallback> m_callbacks;
  StreamClient m_client;
  bool m_started = false;
};

LogTask::LogTask(event_base* aBase,
                 LogService& aService,
                 const Clock& aClock,
                 RandomEngine aRandom,
                 LogTaskOptions aOptions,
                 LogTaskHandlers aHandlers)
  : m_impl(std::make_shared<Impl>(aBase,
                                  aService,
                                  aClock,
                                  aRandom,
                                  std::move(aOptions),
                                  std::move(aHandlers)))
{
}

LogTask::~LogTask() = default;

void
LogTask::Start()
{
  m_impl->Start();
}

RecordId
LogTask::Submit(std::string aBody, SubmitCallback aCallback, MonoTime aDeadline)
{
  return m_impl->Submit(std::move(aBody), std::move(aCallback), aDeadline);
}

Offset
LogTask::Applied() const
{
  return m_impl->Client().Applied();
}

bool
LogTask::CaughtUp() const
{
  return m_impl->Client().CaughtUp();
}

bool
LogTask::Connected() const
{
  return m_impl->Client().Connected();
}

std::vector<LogEntry>
LogTask::RecordsFrom(Offset aFrom, size_t aMaxBytes) const
{
  return m_impl->Client().RecordsFrom(aFrom, aMaxBytes);
}

void
LogTask::ApplyPeerEntries(const std::vector<LogEntry>& aEntries)
{
  m_impl->ApplyPeerEntries(aEntries);
}

const LogCounters&
LogTask::Counters() const
{
  return m_impl->Client().Counters();
}

}
