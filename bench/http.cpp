#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <event2/event.h>
#include <fmt/format.h>
#include <popt.h>

#include "Pistachioshift/Http"
#include "src/Http/internal/EventHandles.h"

/**
 * Load generator: sends requests to one or several targets in one run and
 * prints outcomes, rate and latency of each.
 *
 * With a rate the load is open: requests start on schedule, whether or not
 * earlier ones were answered, and latency counts from the scheduled start;
 * targets take turns request by request. Without one, each connection sends
 * its next request after an answer, and targets take turns slice by slice.
 */

namespace pistachioshift::bench {
namespace {

constexpr Duration kDrainTime = std::chrono::seconds(10);
constexpr size_t kMaxWaiting = 1'000'000;

struct Options
{
  double rate = 0; ///< Requests per second and target; 0: closed loop.
  double seconds = 5;
  int connections = 16; ///< Per target.
  int sliceMillis = 250;
  int bodyBytes = 0;
  std::string method = "GET";
  Headers headers;
  std::vector<std::string> targets;
};

Duration
Seconds(double aCount)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aCount));
}

/** Counts and latencies of one target. */
struct Result
{
  size_t served = 0;
  size_t notRun = 0;
  size_t unknown = 0;
  Duration active{};
  std::vector<double> micros; ///< Of the served ones.

  double Quantile(double aShare) const
  {
    if (micros.empty()) {
      return 0;
    }
    auto last = static_cast<double>(micros.size() - 1);
    return micros[static_cast<size_t>(aShare * last)];
  }
};

/** `address:port/path` taken apart. */
struct TargetName
{
  Endpoint endpoint;
  std::string path;
};

TargetName
ParseTargetName(const std::string& aText)
{
  size_t slash = std::min(aText.find('/'), aText.size());
  size_t colon = aText.rfind(':', slash);
  if (colon == std::string::npos || colon >= slash) {
    throw ConfigError("'" + aText + "' is not address:port/path");
  }
  int port = std::stoi(aText.substr(colon + 1, slash - colon - 1));
  std::string path = slash < aText.size() ? aText.substr(slash) : "/";
  return { { aText.substr(0, colon), static_cast<uint16_t>(port) }, path };
}

/** Notes the end of one request. */
class Answer final : public ClientListener
{
public:
  Answer(Result& aResult, MonoTime aStart, std::function<void()> aDone)
    : m_result(aResult)
    , m_start(aStart)
    , m_done(std::move(aDone))
  {
  }

  void OnHead(const ResponseHead& aHead) override
  {
    const std::string* outcome = aHead.headers.Find("Pistachio-Outcome");
    m_notRun = outcome && *outcome == "not-run";
    m_unknown = !m_notRun && aHead.status >= 500;
  }

  void OnBody(std::string_view /*aData*/) override {}
  void OnDrained() override {}

  void OnEnd() override
  {
    if (!m_notRun && !m_unknown) {
      std::chrono::duration<double, std::micro> took =
        SystemClock().Now() - m_start;
      m_result.micros.push_back(took.count());
    }
    Count();
  }

  void OnFailed(ClientFailure aFailure) override
  {
    m_unknown = MayHaveRun(aFailure);
    m_notRun = !m_unknown;
    Count();
  }

private:
  void Count()
  {
    ++(m_unknown  ? m_result.unknown
       : m_notRun ? m_result.notRun
                  : m_result.served);
    m_done();
  }

  Result& m_result;
  MonoTime m_start;
  std::function<void()> m_done;
  bool m_notRun = false;
  bool m_unknown = false;
};

class Target
{
public:
  Target(event_base* aBase, const Options& aOptions, const std::string& aName)
    : m_name(aName)
    , m_body(static_cast<size_t>(aOptions.bodyBytes), 'x')
  {
    TargetName name = ParseTargetName(aName);
    m_head.method = aOptions.method;
    m_head.target = name.path;
    m_head.headers = aOptions.headers;
    if (!m_body.empty()) {
      m_head.contentLength = m_body.size();
    }
    HttpClientLimits limits;
    limits.maxConnections = static_cast<size_t>(aOptions.connections);
    limits.maxWaiting = kMaxWaiting;
    m_pool = std::make_unique<HttpClientPool>(aBase, name.endpoint, limits);
  }

  void Send(MonoTime aStart, std::function<void()> aDone)
  {
    ++m_sent;
    auto answer = std::make_shared<Answer>(result, aStart, std::move(aDone));
    auto exchange = m_pool->Start(m_head, answer);
    exchange->SendBody(m_body);
    exchange->Finish();
  }

  bool Drained() const
  {
    return m_sent == result.served + result.notRun + result.unknown;
  }

  void Print()
  {
    std::sort(result.micros.begin(), result.micros.end());
    result.unknown = m_sent - result.served - result.notRun;
    double seconds = std::chrono::duration<double>(result.active).count();
    fmt::print("{}: sent={} served={} not-run={} unknown={} rate={:.0f}/s "
               "p50={:.0f}us p99={:.0f}us max={:.0f}us\n",
               m_name,
               m_sent,
               result.served,
               result.notRun,
               result.unknown,
               static_cast<double>(result.served) / seconds,
               result.Quantile(0.5),
               result.Quantile(0.99),
               result.Quantile(1));
  }

  Result result;

private:
  std::string m_name;
  std::string m_body;
  RequestHead m_head;
  std::unique_ptr<HttpClientPool> m_pool;
  size_t m_sent = 0;
};

class Generator
{
public:
  Generator(event_base* aBase, const Options& aOptions)
    : m_base(aBase)
    , m_options(aOptions)
    , m_timer(event_new(aBase, -1, 0, HandleTimer, this))
  {
    for (const std::string& name : aOptions.targets) {
      m_targets.push_back(std::make_unique<Target>(aBase, aOptions, name));
    }
  }

  void Run()
  {
    m_begin = m_clock.Now();
    m_end = m_begin + Seconds(m_options.seconds);
    Tick();
    event_base_dispatch(m_base);
    for (const auto& target : m_targets) {
      target->Print();
    }
  }

private:
  static void HandleTimer(evutil_socket_t /*aSocket*/,
                          short /*aWhat*/,
                          void* aSelf)
  {
    static_cast<Generator*>(aSelf)->Tick();
  }

  void WakeAt(MonoTime aTime)
  {
    timeval wait =
      internal::ToTimeval(std::max(aTime - m_clock.Now(), Duration::zero()));
    event_add(m_timer.get(), &wait);
  }

  void Tick()
  {
    MonoTime now = m_clock.Now();
    if (now >= m_end) {
      Drain(now);
    } else if (m_options.rate > 0) {
      SendDue(now);
    } else {
      NextSlice(now);
    }
  }

  void Drain(MonoTime aNow)
  {
    bool drained =
      std::all_of(m_targets.begin(), m_targets.end(), [](const auto& aTarget) {
        return aTarget->Drained();
      });
    if (drained || aNow >= m_end + kDrainTime) {
      event_base_loopbreak(m_base);
      return;
    }
    WakeAt(aNow + std::chrono::milliseconds(1));
  }

  MonoTime DueAt(size_t aNumber) const
  {
    auto perSecond = m_options.rate * static_cast<double>(m_targets.size());
    return m_begin + Seconds(static_cast<double>(aNumber) / perSecond);
  }

  void SendDue(MonoTime aNow)
  {
    while (DueAt(m_scheduled) <= aNow) {
      Target& target = *m_targets[m_scheduled % m_targets.size()];
      target.result.active = m_end - m_begin;
      target.Send(DueAt(m_scheduled), [] {});
      ++m_scheduled;
    }
    WakeAt(std::min(DueAt(m_scheduled), m_end));
  }

  void NextSlice(MonoTime aNow)
  {
    Duration slice = std::chrono::milliseconds(m_options.sliceMillis);
    m_current = (m_current + 1) % m_targets.size();
    Target& target = *m_targets[m_current];
    m_sliceEnd = std::min(aNow + slice, m_end);
    target.result.active += m_sliceEnd - aNow;
    for (int i = 0; i < m_options.connections; ++i) {
      SendInLoop(m_current);
    }
    WakeAt(m_sliceEnd);
  }

  void SendInLoop(size_t aTarget)
  {
    MonoTime now = m_clock.Now();
    if (now < m_sliceEnd && aTarget == m_current) {
      m_targets[aTarget]->Send(now, [this, aTarget] { SendInLoop(aTarget); });
    }
  }

  event_base* m_base;
  const Options& m_options;
  SystemClock m_clock;
  internal::EventPtr m_timer;
  std::vector<std::unique_ptr<Target>> m_targets;
  MonoTime m_begin;
  MonoTime m_end;
  MonoTime m_sliceEnd;
  size_t m_scheduled = 0;
  size_t m_current = 0;
};

void
AddHeader(Options& aOptions, const std::string& aText)
{
  size_t colon = aText.find(": ");
  if (colon == std::string::npos) {
    throw ConfigError("--header takes 'Name: value'");
  }
  aOptions.headers.Add(aText.substr(0, colon), aText.substr(colon + 2));
}

Options
ParseOptions(int aCount, const char** aArguments)
{
  constexpr int kHeader = 1;
  Options options;
  char* text = nullptr;
  char* method = nullptr;
  const poptOption table[] = {
    { "rate",
      0,
      POPT_ARG_DOUBLE,
      &options.rate,
      0,
      "Per second, 0: closed",
      "N" },
    { "seconds", 0, POPT_ARG_DOUBLE, &options.seconds, 0, "Length", "S" },
    { "connections", 0, POPT_ARG_INT, &options.connections, 0, "Each", "N" },
    { "slice-ms",
      0,
      POPT_ARG_INT,
      &options.sliceMillis,
      0,
      "Closed loop",
      "N" },
    { "body-bytes", 0, POPT_ARG_INT, &options.bodyBytes, 0, "Sent", "N" },
    { "method", 0, POPT_ARG_STRING, &method, 0, "Method", "NAME" },
    { "header", 0, POPT_ARG_STRING, &text, kHeader, "Repeated", "FIELD" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context =
    poptGetContext("bench_http", aCount, aArguments, table, 0);
  poptSetOtherOptionHelp(context, "[OPTION...] address:port/path...");
  int result = 0;
  while ((result = poptGetNextOpt(context)) == kHeader) {
    AddHeader(options, text);
  }
  while (const char* target = poptGetArg(context)) {
    options.targets.emplace_back(target);
  }
  options.method = method ? method : options.method;
  poptFreeContext(context);
  if (result < -1 || options.targets.empty() || options.connections < 1) {
    throw ConfigError("see --help");
  }
  return options;
}

int
RunAll(int aCount, const char** aArguments)
{
  Options options = ParseOptions(aCount, aArguments);
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  std::unique_ptr<event_base, internal::FreeWith<event_base_free>> base(
    event_base_new_with_config(config));
  event_config_free(config);
  Generator(base.get(), options).Run();
  return 0;
}

}
}

int
main(int aCount, const char** aArguments)
{
  try {
    return pistachioshift::bench::RunAll(aCount, aArguments);
  } catch (const std::exception& error) {
    fmt::print(stderr, "bench_http: {}\n", error.what());
    return 2;
  }
}
