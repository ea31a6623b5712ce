#ifndef PISTACHIOSHIFT_TEST_LOG_SIMULATIONSUPPORT_H
#define PISTACHIOSHIFT_TEST_LOG_SIMULATIONSUPPORT_H

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "Pistachioshift/Log"
#include "test/Log/FakeLogSupport.h"

namespace pistachioshift::test {

/** \brief Process with a StreamClient, its state and its submitted records. */
struct Process
{
  std::unique_ptr<StreamClient> client;
  ChainState state;
  std::set<RecordId> submitted;
  std::vector<Completion> completed;
  uint64_t incarnation = 0;
  Offset applied; ///< At the last check.
};

/** \brief Step of a script; `pick` selects its target, modulo their number. */
struct Step
{
  uint32_t action = 0;
  uint32_t pick = 0;
};

/** \brief Prints a step of a failing script. */
std::ostream& operator<<(std::ostream& aOut, const Step& aStep);

/**
 * \brief Simulates processes, the log service and the network between them in
 * virtual time.
 *
 * A script determines which requests and answers are delayed, lost or
 * duplicated.
 */
class Simulation
{
public:
  Simulation(size_t aProcesses, bool aExpires);

  /** \brief Starts one more process. */
  void AddProcess();

  /** \brief All entries written so far expire. */
  void ExpireAll() { m_log.Expire(m_log.End().Value()); }

  void RestartAll();

  void Run(const std::vector<Step>& aScript);

  /** \brief Runs without faults, long enough for all work to finish. */
  void RunWithoutFaults();

  /** \brief Throws std::logic_error if a process violates a guarantee. */
  void CheckSafety();

  /** \brief Throws unless all entries are processed and records completed. */
  void CheckConverged() const;

  /** \brief Whether some process can continue without a checkpoint. */
  bool AnyClientHoldsState() const;

  const FakeLog& Log() const { return m_log; }

  /** \brief Checkpoints loaded by the processes that are running now. */
  uint64_t CheckpointsLoaded() const;

  static constexpr uint32_t kSubmit = 0;
  static constexpr uint32_t kAdvance = 10;
  static constexpr uint32_t kInjectFault = 11;
  static constexpr uint32_t kCompleteInFlight = 12;
  static constexpr uint32_t kActions = 14;
  static constexpr uint32_t kExpireFive = 180; ///< Pick for kInjectFault.

private:
  struct AppendInFlight
  {
    uint64_t incarnation = 0;
    std::vector<std::string> payloads;
    std::vector<Offset> offsets; ///< Set once written.
    bool answered = false;       ///< If so, may still be written late or again.
  };

  struct ReadInFlight
  {
    uint64_t incarnation = 0;
    ReadRequest request;
    std::optional<ReadAnswer> answer; ///< Set once the log service answered.
  };

  void Start(Process& aProcess);
  Process* Find(uint64_t aIncarnation);
  void RunClients();
  void Execute(const Step& aStep);
  void AnswerAppend(const Step& aStep);
  void DropLateAppends();
  void Submit(uint32_t aPick);
  void WriteAppend(AppendInFlight& aAppend);
  void CompleteAppend(AppendInFlight& aAppend, const AppendResult& aResult);
  void AdvanceRead(std::list<ReadInFlight>::iterator aRead, bool aFails);
  void InjectFault(uint32_t aPick);
  void Expire(uint32_t aPick);
  void Restart(uint32_t aPick);
  bool HoldsState(const Process& aProcess) const;
  void RelayBetween(uint32_t aPick);
  void CompleteInFlight(bool aEndLongPolls);
  void CheckNotInStream(const Process& aProcess,
                        const std::vector<std::string>& aPayloads) const;
  void CheckProcess(Process& aProcess) const;

  FakeLog m_log;
  Oracle m_oracle;
  bool m_expires;
  MonoTime m_now{ std::chrono::hours(1) };
  std::deque<Process> m_processes;
  std::list<AppendInFlight> m_appends;
  std::list<ReadInFlight> m_reads;
  std::map<uint64_t, Offset> m_endAtAmbiguity; ///< By incarnation.
  uint64_t m_nextIncarnation = 1;
};

}

#endif
