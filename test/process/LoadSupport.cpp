#include "test/process/LoadSupport.h"

#include <algorithm>

#include <fmt/format.h>

namespace pistachioshift::test {

namespace {

constexpr size_t kOrderEvery = 4;
constexpr size_t kSlowOrderEvery = 16;
constexpr auto kPause = std::chrono::milliseconds(2);
/** Longer than any deadline: the daemon's verdict is waited for. */
constexpr auto kCallTimeout = std::chrono::seconds(30);

}

int
LoadReport::OrdersWith(const std::string& aOutcome) const
{
  return static_cast<int>(
    std::count_if(orders.begin(), orders.end(), [&](const auto& aOrder) {
      return aOrder.second == aOutcome;
    }));
}

std::string
LoadReport::Text() const
{
  std::pair<int64_t, std::string> longest;
  for (const auto& [key, gap] : longestGaps) {
    longest = std::max(longest, { gap, key });
  }
  auto text = fmt::format("orders: {} sent, {} done, {} not-run, {} unknown, "
                          "{} lost; longest gap {} ms of {}; lookups:",
                          orders.size(),
                          OrdersWith("done"),
                          OrdersWith("not-run"),
                          OrdersWith("unknown"),
                          OrdersWith("lost"),
                          longest.first,
                          longest.second);
  for (const auto& [outcome, count] : lookups) {
    text += fmt::format(" {} {}", count, outcome);
  }
  for (const auto& [reason, count] : reasons) {
    text += fmt::format("; {} x {}", count, reason);
  }
  return text;
}

CallerLoad::CallerLoad(std::vector<uint16_t> aPorts,
                       std::vector<std::string> aProbeKeys,
                       size_t aThreads,
                       std::string aName)
  : m_ports(std::move(aPorts))
  , m_probeKeys(std::move(aProbeKeys))
  , m_name(std::move(aName))
{
  for (size_t number = 0; number < aThreads; ++number) {
    m_threads.emplace_back([this, number] { Run(number); });
  }
}

CallerLoad::~CallerLoad()
{
  Stop();
}

LoadReport
CallerLoad::Stop()
{
  m_stopped = true;
  for (auto& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
  return m_report;
}

bool
CallerLoad::WaitServed(std::chrono::seconds aLimit)
{
  const auto began = Clock::now();
  return WaitUntil(
    [&] {
      const std::lock_guard lock(m_mutex);
      return std::all_of(
        m_probeKeys.begin(), m_probeKeys.end(), [&](const auto& aKey) {
          const auto served = m_served.find(aKey);
          return served != m_served.end() && served->second > began;
        });
    },
    aLimit);
}

HttpReply
CallerLoad::Send(size_t& aTurn, const std::string& aPath, bool aIsPost)
{
  for (;;) {
    const auto port = m_ports[aTurn++ % m_ports.size()];
    auto reply = HttpSend({ .port = port,
                            .path = aPath,
                            .isPost = aIsPost,
                            .timeout = kCallTimeout });
    // Nothing was sent: another daemon is tried.
    if (reply.connected || m_stopped) {
      return reply;
    }
    std::this_thread::sleep_for(kPause);
  }
}

void
CallerLoad::Run(size_t aNumber)
{
  size_t turn = aNumber;
  for (size_t count = 1; !m_stopped; ++count) {
    std::this_thread::sleep_for(kPause);
    if (count % kOrderEvery != 0) {
      const auto& key = m_probeKeys[(count + aNumber * 7) % m_probeKeys.size()];
      NoteLookup(key, Send(turn, "/orders/" + key + "/echo", false));
      continue;
    }
    const auto key = fmt::format("{}-{}-{}", m_name, aNumber, count);
    const char* work = count % kSlowOrderEvery == 0 ? "work?ms=200" : "orders";
    const auto reply = Send(turn, "/orders/" + key + "/" + work, true);
    const std::lock_guard lock(m_mutex);
    const bool sent = reply.connected;
    m_report.orders[key] = !sent               ? "not-sent"
                           : reply.status == 0 ? "lost"
                                               : reply.outcome;
    if (!reply.reason.empty()) {
      ++m_report.reasons[reply.outcome + ": " + reply.reason];
    }
  }
}

void
CallerLoad::NoteLookup(const std::string& aKey, const HttpReply& aReply)
{
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  if (!aReply.connected) {
    return; // Stopped before it was sent.
  }
  const auto now = Clock::now();
  const std::lock_guard lock(m_mutex);
  ++m_report.lookups[aReply.status == 0 ? "lost" : aReply.outcome];
  if (!aReply.reason.empty()) {
    ++m_report.reasons[aReply.outcome + ": " + aReply.reason];
  }
  if (aReply.status != 200) {
    return;
  }
  const auto last = m_served.try_emplace(aKey, now).first->second;
  const auto gap = duration_cast<milliseconds>(now - last).count();
  auto& longest = m_report.longestGaps[aKey];
  longest = std::max(longest, gap);
  m_served[aKey] = now;
}

std::vector<std::string>
MakeProbeKeys(size_t aCount)
{
  std::vector<std::string> keys;
  keys.reserve(aCount);
  for (size_t number = 0; number < aCount; ++number) {
    keys.push_back(fmt::format("probe-{}", number));
  }
  return keys;
}

std::vector<std::string>
FindBrokenPromises(const LoadReport& aReport,
                   const std::vector<RecordedRun>& aRuns)
{
  std::map<std::string, int> ran;
  for (const auto& run : aRuns) {
    ran[run.key] += run.method == "POST" && run.Ran() ? 1 : 0;
  }
  std::vector<std::string> problems;
  for (const auto& [key, outcome] : aReport.orders) {
    const int count = ran[key];
    if (count > 1) {
      problems.push_back(fmt::format("{} ran {} times", key, count));
    }
    if (outcome == "not-run" && count > 0) {
      problems.push_back(key + " was told not-run and ran");
    }
    if (outcome == "done" && count != 1) {
      problems.push_back(
        fmt::format("{} was told done and ran {} times", key, count));
    }
  }
  return problems;
}

}
