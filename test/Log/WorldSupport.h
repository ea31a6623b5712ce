#ifndef PISTACHIOSHIFT_TEST_LOG_WORLDSUPPORT_H
#define PISTACHIOSHIFT_TEST_LOG_WORLDSUPPORT_H

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

/** \brief One process: a StreamClient, its state and what it was told. */
struct Process
{
  std::unique_ptr<StreamClient> client;
  ChainState state;
  std::set<RecordId> submitted;
  std::vector<Completion> completed;
  uint64_t incarnation = 0;
  Offset applied; ///< At the last check.
};

/** \brief One step of a script; what it acts on is picked modulo. */
struct Step
{
  uint32_t action = 0;
  uint32_t pick = 0;
};

/** \brief Prints a step of a failing script. */
std::ostream& operator<<(std::ostream& aOut, const Step& aStep);

/**
 * \brief Processes, the log and the network between them, in virtual time.
 *
 * Requests and answers are delayed, lost and doubled as a script says.
 */
class World
{
public:
  World(size_t aProcesses, bool aExpires);

  /** \brief Starts one more process. */
  void AddProcess();

  /** \brief Retention takes all that was written. */
  void ExpireAll() { m_log.Expire(m_log.End().Value()); }

  void RestartAll();

  void Run(const std::vector<Step>& aScript);

  /** \brief Ends all faults and runs until nothing happens any more. */
  void Heal();

  /** \brief Throws std::logic_error if a process saw other than it should. */
  void CheckSafety();

  /** \brief Throws unless all processes are through with everything. */
  void CheckSettled() const;

  /** \brief Whether some process can go on without a checkpoint. */
  bool SomeHoldState() const;

  const FakeLog& Log() const { return m_log; }

  /** \brief By the processes that run now. */
  uint64_t CheckpointsLoaded() const;

  static constexpr uint32_t kSubmit = 0;
  static constexpr uint32_t kAdvance = 10;
  static constexpr uint32_t kDisturb = 11;
  static constexpr uint32_t kCalmRound = 12;
  static constexpr uint32_t kActions = 14;
  static constexpr uint32_t kExpireFive = 180; ///< Pick of kDisturb.

private:
  struct AppendInFlight
  {
    uint64_t incarnation = 0;
    std::vector<std::string> payloads;
    std::vector<Offset> offsets; ///< Set once written.
    bool answered = false;       ///< May still be written, late or again.
  };

  struct ReadInFlight
  {
    uint64_t incarnation = 0;
    ReadRequest request;
    std::optional<ReadAnswer> answer; ///< Set once it left the log.
  };

  void Start(Process& aProcess);
  Process* Find(uint64_t aIncarnation);
  void Pump();
  void Act(const Step& aStep);
  void ActOnAppend(const Step& aStep);
  void ForgetLateAppends();
  void Submit(uint32_t aPick);
  void WriteAppend(AppendInFlight& aAppend);
  void EndAppend(AppendInFlight& aAppend, const AppendResult& aResult);
  void EndRead(std::list<ReadInFlight>::iterator aRead, bool aFails);
  void Disturb(uint32_t aPick);
  void Expire(uint32_t aPick);
  void Restart(uint32_t aPick);
  bool HoldsState(const Process& aProcess) const;
  void RelayBetween(uint32_t aPick);
  void CalmRound(bool aEndWaits);
  void CheckLookedFor(const Process& aProcess,
                      const std::vector<std::string>& aPayloads) const;
  void CheckProcess(Process& aProcess) const;

  FakeLog m_log;
  Oracle m_oracle;
  bool m_expires;
  MonoTime m_now{ std::chrono::hours(1) };
  std::deque<Process> m_processes;
  std::list<AppendInFlight> m_appends;
  std::list<ReadInFlight> m_reads;
  std::map<uint64_t, Offset> m_ambiguousEnd; ///< By incarnation.
  uint64_t m_nextIncarnation = 1;
};

}

#endif
