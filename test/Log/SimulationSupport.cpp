#include "test/Log/SimulationSupport.h"

#include <algorithm>
#include <stdexcept>

#include <fmt/format.h>

namespace pistachioshift::test {

namespace {

using namespace std::chrono_literals;

constexpr size_t kSmallChunkBytes = 24;
constexpr ptrdiff_t kMaxLateAppends = 6;
constexpr int kFaultFreeSteps = 600;

void
Require(bool aHolds, const std::string& aWhat)
{
  if (!aHolds) {
    throw std::logic_error(aWhat);
  }
}

template<class List>
List::iterator
Pick(List& aList, uint32_t aPick)
{
  auto found = aList.begin();
  std::advance(found, aPick % aList.size());
  return found;
}

StreamClientOptions
ClientOptions(uint64_t aIncarnation)
{
  StreamClientOptions options;
  options.appender.writer = BootId(aIncarnation);
  options.appender.minInterval = 20ms;
  options.appender.minBackoff = 10ms;
  options.appender.maxBackoff = 200ms;
  options.checkpoints.interval = 10min;
  options.checkpoints.records = 16;
  options.writesCheckpoints = true;
  options.chunkBytes = kSmallChunkBytes;
  options.longPoll = 10s;
  options.maxRecords = 7;
  options.maxCachedBytes = 2000;
  return options;
}

}

std::ostream&
operator<<(std::ostream& aOut, const Step& aStep)
{
  return aOut << aStep.action << "/" << aStep.pick;
}

Simulation::Simulation(size_t aProcesses, bool aExpires)
  : m_expires(aExpires)
  , m_processes(aProcesses)
{
  for (auto& process : m_processes) {
    Start(process);
  }
}

void
Simulation::AddProcess()
{
  Start(m_processes.emplace_back());
}

void
Simulation::RestartAll()
{
  for (auto& process : m_processes) {
    Start(process);
  }
}

void
Simulation::Run(const std::vector<Step>& aScript)
{
  for (const auto& step : aScript) {
    Execute(step);
    if (step.pick % 8 != 0) {
      RunClients();
    }
    CheckSafety();
  }
}

void
Simulation::RunWithoutFaults()
{
  m_appends.remove_if(
    [](const AppendInFlight& aAppend) { return aAppend.answered; });
  for (int step = 0; step < kFaultFreeSteps; ++step) {
    CompleteInFlight(step % 20 == 0);
    m_now += 50ms;
    RunClients();
    CheckSafety();
  }
}

void
Simulation::CompleteInFlight(bool aEndLongPolls)
{
  for (auto& append : m_appends) {
    if (append.answered) {
      continue;
    }
    if (append.offsets.empty()) {
      WriteAppend(append);
    }
    CompleteAppend(append, Appended{ append.offsets });
  }
  DropLateAppends();
  for (auto read = m_reads.begin(); read != m_reads.end();) {
    const auto next = std::next(read);
    const bool waits = read->request.from >= m_log.End() && !aEndLongPolls;
    if (!waits || read->request.wait == Duration{}) {
      AdvanceRead(read, false);
    }
    read = next;
  }
}

void
Simulation::CheckSafety()
{
  m_oracle.Update(m_log);
  for (auto& process : m_processes) {
    CheckProcess(process);
  }
}

void
Simulation::CheckProcess(Process& aProcess) const
{
  const Offset applied = aProcess.client->Applied();
  Require(applied >= aProcess.applied, "applied offset decreased");
  aProcess.applied = applied;
  Require(aProcess.state == m_oracle.At(applied),
          "state differs from the reference");
  std::set<RecordId> seen;
  for (const auto& [id, result] : aProcess.completed) {
    Require(aProcess.submitted.contains(id), "completed but never submitted");
    Require(seen.insert(id).second, "completed twice");
    const auto first = m_oracle.FirstCopy(id);
    if (const auto* written = std::get_if<SubmitWritten>(&result)) {
      Require(first.has_value(), "acknowledged but not written");
      Require(*first <= applied, "acknowledged before it was read back");
      Require(!written->offset || *written->offset == *first, "wrong offset");
    } else {
      Require(!first.has_value(), "reported as not written, but was written");
    }
  }
}

void
Simulation::CheckConverged() const
{
  for (const auto& process : m_processes) {
    const auto& client = *process.client;
    Require(client.CaughtUp(), "not caught up");
    Require(client.Applied().Value() + 1 == m_log.End().Value(),
            "not all entries processed");
    Require(process.completed.size() == process.submitted.size(),
            "submitted but not completed");
  }
}

bool
Simulation::AnyClientHoldsState() const
{
  return std::any_of(
    m_processes.begin(), m_processes.end(), [this](const Process& aProcess) {
      return HoldsState(aProcess);
    });
}

uint64_t
Simulation::CheckpointsLoaded() const
{
  uint64_t loaded = 0;
  for (const auto& process : m_processes) {
    loaded += process.client->Counters().checkpointsLoaded;
  }
  return loaded;
}

bool
Simulation::HoldsState(const Process& aProcess) const
{
  return aProcess.client->Applied().Value() + 1 >= m_log.First().Value();
}

void
Simulation::Start(Process& aProcess)
{
  aProcess = Process{};
  aProcess.incarnation = m_nextIncarnation++;
  StreamHandlers handlers;
  handlers.record = [&aProcess](const LogRecord& aRecord) {
    aProcess.state.Apply(aRecord);
  };
  handlers.saveState = [&aProcess] { return aProcess.state.Save(); };
  handlers.loadState = [&aProcess](const std::string& aBytes) {
    aProcess.state = ChainState::Load(aBytes);
  };
  handlers.caughtUp = [] {};
  handlers.completed = [&aProcess](const Completion& aCompletion) {
    aProcess.completed.push_back(aCompletion);
  };
  aProcess.client =
    std::make_unique<StreamClient>(ClientOptions(aProcess.incarnation),
                                   std::move(handlers),
                                   RandomEngine(aProcess.incarnation));
}

Process*
Simulation::Find(uint64_t aIncarnation)
{
  for (auto& process : m_processes) {
    if (process.incarnation == aIncarnation) {
      return &process;
    }
  }
  return nullptr;
}

void
Simulation::RunClients()
{
  for (auto& process : m_processes) {
    process.client->OnTimer(m_now);
    if (const auto read = process.client->StartRead(m_now)) {
      m_reads.push_back(ReadInFlight{ process.incarnation, *read, {} });
    }
    if (auto payloads = process.client->StartAppend(m_now)) {
      CheckNotInStream(process, *payloads);
      m_appends.push_back(
        AppendInFlight{ process.incarnation, std::move(*payloads), {}, false });
    }
  }
}

// Checks that no record is sent again that was already in the stream when the
// outcome of the last append turned out to be ambiguous.
void
Simulation::CheckNotInStream(const Process& aProcess,
                             const std::vector<std::string>& aPayloads) const
{
  const auto end = m_endAtAmbiguity.find(aProcess.incarnation);
  if (end == m_endAtAmbiguity.end()) {
    return;
  }
  for (const auto& payload : aPayloads) {
    const auto first = m_oracle.FirstCopy(DecodeEnvelope(payload).id);
    Require(!first || *first >= end->second,
            "sent again although it was in the stream");
  }
}

void
Simulation::Execute(const Step& aStep)
{
  const uint32_t pick = aStep.pick;
  switch (aStep.action % kActions) {
    case kSubmit:
    case 1:
      Submit(pick);
      return;
    case 2:
    case 3:
      if (!m_appends.empty()) {
        WriteAppend(*Pick(m_appends, pick));
      }
      return;
    case 4:
    case 5:
    case 6:
      if (!m_appends.empty()) {
        AnswerAppend(aStep);
      }
      return;
    case 7:
    case 8:
    case 9:
      if (!m_reads.empty()) {
        AdvanceRead(Pick(m_reads, pick), aStep.action % kActions == 9);
      }
      return;
    case kAdvance:
      m_now += pick % 16 == 0 ? Duration(11min) : Duration(pick % 500 * 1ms);
      return;
    case kInjectFault:
      InjectFault(pick);
      return;
    default:
      CompleteInFlight(pick % 2 == 0);
      return;
  }
}

void
Simulation::AnswerAppend(const Step& aStep)
{
  const auto append = Pick(m_appends, aStep.pick);
  const bool written = !append->offsets.empty();
  const bool refuse = aStep.action % kActions == 6;
  if (aStep.action % kActions == 4 && written) {
    CompleteAppend(*append, Appended{ append->offsets });
  } else if (refuse && !written && !append->answered) {
    CompleteAppend(*append, AppendRefused{ "down" });
    m_appends.erase(append);
  } else {
    CompleteAppend(*append, AppendAmbiguous{ "lost" });
  }
  DropLateAppends();
}

// Loses the oldest appends that were answered but may still be written, beyond
// kMaxLateAppends.
void
Simulation::DropLateAppends()
{
  const auto isLate = [](const AppendInFlight& aOne) { return aOne.answered; };
  const auto late = std::count_if(m_appends.begin(), m_appends.end(), isLate);
  for (auto excess = late - kMaxLateAppends; excess > 0; --excess) {
    m_appends.erase(std::find_if(m_appends.begin(), m_appends.end(), isLate));
  }
}

void
Simulation::Submit(uint32_t aPick)
{
  auto& process = m_processes[aPick % m_processes.size()];
  const MonoTime deadline = aPick % 5 == 0 ? m_now + 100ms : MonoTime::max();
  const auto body = fmt::format("{}/{}", process.incarnation, aPick);
  process.submitted.insert(process.client->Submit(body, deadline));
}

// Writing an append again simulates a duplicate made by the network or by the
// log service.
void
Simulation::WriteAppend(AppendInFlight& aAppend)
{
  auto offsets = m_log.Append(aAppend.payloads);
  if (aAppend.offsets.empty()) {
    aAppend.offsets = std::move(offsets);
  }
  m_oracle.Update(m_log);
}

void
Simulation::CompleteAppend(AppendInFlight& aAppend, const AppendResult& aResult)
{
  if (aAppend.answered) {
    return;
  }
  aAppend.answered = true;
  Process* process = Find(aAppend.incarnation);
  if (process != nullptr) {
    if (std::holds_alternative<AppendAmbiguous>(aResult)) {
      m_endAtAmbiguity[aAppend.incarnation] = m_log.End();
    }
    process->client->OnAppend(aResult, m_now);
  }
}

// The log service answers in one step; the answer is delivered in a later one.
void
Simulation::AdvanceRead(std::list<ReadInFlight>::iterator aRead, bool aFails)
{
  Process* process = Find(aRead->incarnation);
  if (process == nullptr) {
    m_reads.erase(aRead);
    return;
  }
  if (!aFails && !aRead->answer) {
    const auto& request = aRead->request;
    aRead->answer = m_log.Read(request.from, request.maxRecords);
    return;
  }
  const ReadInFlight read = std::move(*aRead);
  m_reads.erase(aRead);
  const ReadResult result =
    aFails ? ReadResult(ReadFailed{ "lost" }) : ReadResult(*read.answer);
  process->client->OnRead(read.request.number, result, m_now);
}

void
Simulation::InjectFault(uint32_t aPick)
{
  const uint32_t pick = aPick / 4;
  switch (aPick % 4) {
    case 0:
      Expire(pick);
      return;
    case 1:
      Restart(pick);
      return;
    default:
      RelayBetween(pick);
      return;
  }
}

// Usually, only entries that some process has read expire.
void
Simulation::Expire(uint32_t aPick)
{
  if (!m_expires) {
    return;
  }
  int64_t newest = 0;
  for (const auto& process : m_processes) {
    newest = std::max(newest, process.client->Applied().Value());
  }
  const int64_t kept = newest + 1 - m_log.First().Value();
  const int64_t count = aPick % 40;
  const bool losesState = aPick / 40 % 32 == 0;
  m_log.Expire(losesState ? count : std::min(count, kept));
}

void
Simulation::Restart(uint32_t aPick)
{
  auto& process = m_processes[aPick % m_processes.size()];
  const bool alone =
    m_processes.size() == 1 ||
    std::none_of(
      m_processes.begin(), m_processes.end(), [&](const Process& aOther) {
        return &aOther != &process && HoldsState(aOther);
      });
  const bool losesState = aPick / 40 % 32 == 0;
  if (!m_expires || losesState || !alone) {
    Start(process);
  }
}

void
Simulation::RelayBetween(uint32_t aPick)
{
  const size_t count = m_processes.size();
  const auto& source = m_processes[aPick % count];
  auto& target = m_processes[(aPick / count) % count];
  const Offset from(target.client->Applied().Value() + 1);
  target.client->OnPeerEntries(source.client->RecordsFrom(from, 300), m_now);
}

}
