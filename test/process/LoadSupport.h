#ifndef PISTACHIOSHIFT_TEST_PROCESS_LOADSUPPORT_H
#define PISTACHIOSHIFT_TEST_PROCESS_LOADSUPPORT_H

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "test/process/MeshSupport.h"

namespace pistachioshift::test {

/** \brief What callers were told and how long keys went unserved. */
struct LoadReport
{
  std::map<std::string, std::string> orders;  ///< Outcome by key.
  std::map<std::string, int> lookups;         ///< Count by outcome.
  std::map<std::string, int> reasons;         ///< Count of refusals.
  std::map<std::string, int64_t> longestGaps; ///< By probe key, ms.

  int OrdersWith(const std::string& aOutcome) const;
  /** \brief One line for the test's output. */
  std::string Text() const;
};

/**
 * \brief Caller threads that send orders, one key each, and lookups of a few
 * probe keys through all daemons in turn.
 */
class CallerLoad
{
public:
  /** \brief Starts threads; the name makes the keys of orders unique. */
  CallerLoad(std::vector<uint16_t> aPorts,
             std::vector<std::string> aProbeKeys,
             size_t aThreads = 12,
             std::string aName = "load");
  ~CallerLoad();

  /** \brief Whether every probe key was served after this call began. */
  bool WaitServed(std::chrono::seconds aLimit);

  /** \brief Ends the threads; requests in progress are waited for. */
  LoadReport Stop();

private:
  using Clock = std::chrono::steady_clock;

  void Run(size_t aNumber);
  HttpReply Send(size_t& aTurn, const std::string& aPath, bool aIsPost);
  void NoteLookup(const std::string& aKey, const HttpReply& aReply);

  std::vector<uint16_t> m_ports;
  std::vector<std::string> m_probeKeys;
  std::string m_name;
  std::atomic<bool> m_stopped{ false };
  std::mutex m_mutex;
  LoadReport m_report;
  std::map<std::string, Clock::time_point> m_served;
  std::vector<std::thread> m_threads;
};

/** \brief Probe keys spread over the ranges. */
std::vector<std::string> MakeProbeKeys(size_t aCount);

/** \brief Promises broken towards callers, by the servers' record. */
std::vector<std::string> FindBrokenPromises(
  const LoadReport& aReport,
  const std::vector<RecordedRun>& aRuns);

}

#endif
