#include "standin/server/Backend.h"

#include <algorithm>
#include <thread>

#include <fmt/format.h>

#include "standin/server/Job.h"

namespace pistachioshift::standin {
namespace {

// Lets the response to /control be sent before the freeze starts.
constexpr Duration kFreezeDelay = std::chrono::milliseconds(20);

}

void
Reply(ServerExchange& aExchange,
      int aStatus,
      const std::string& aBody,
      Headers aHeaders)
{
  aExchange.SendHead({ .status = aStatus,
                       .headers = std::move(aHeaders),
                       .contentLength = aBody.size() });
  aExchange.SendBody(aBody);
  aExchange.Finish();
}

Backend::Backend(event_base* aBase,
                 const Options& aOptions,
                 const Clock& aClock)
  : m_base(aBase)
  , m_options(aOptions)
  , m_clock(aClock)
  , m_freeze(event_new(aBase, -1, 0, HandleFreeze, this))
{
}

void
Backend::Handle(const ExchangePtr& aExchange)
{
  Target target = ParseTarget(aExchange->Head().target);
  if (HandleManagement(aExchange, target)) {
    return;
  }
  auto job = std::make_shared<Job>(*this, aExchange, std::move(target));
  if (!job->IsKnown()) {
    Reply(*aExchange, 404, "no such path\n");
    return;
  }
  Admit(job);
}

bool
Backend::HandleManagement(const ExchangePtr& aExchange, const Target& aTarget)
{
  const std::string& path = aTarget.path;
  if (path == "/health") {
    Reply(*aExchange, 200, m_control.draining ? "draining\n" : "ok\n");
  } else if (path == "/load") {
    Reply(*aExchange,
          200,
          LoadReport(),
          { { "Content-Type", "application/json" } });
  } else if (path == "/record") {
    Reply(*aExchange,
          200,
          m_record.ToJsonLines(),
          { { "Content-Type", "application/x-ndjson" } });
  } else if (path == "/control" && aExchange->Head().method == "POST") {
    Reply(*aExchange, 200, "ok\n");
    ApplyControl(aTarget);
  } else {
    return false;
  }
  return true;
}

std::string
Backend::LoadReport() const
{
  auto inflight = static_cast<double>(m_running + m_queue.size());
  return fmt::format("{{\"inflight\":{:.0f},\"slots\":{},\"draining\":{}}}\n",
                     inflight * m_control.loadFactor,
                     m_options.slots,
                     m_control.draining);
}

void
Backend::ApplyControl(const Target& aTarget)
{
  m_control.Apply(aTarget, m_clock.Now());
  if (m_control.freeze > Duration::zero()) {
    timeval delay = internal::ToTimeval(kFreezeDelay);
    event_add(m_freeze.get(), &delay);
  }
}

void
Backend::HandleFreeze(evutil_socket_t /*aSocket*/, short /*aWhat*/, void* aSelf)
{
  auto* self = static_cast<Backend*>(aSelf);
  std::this_thread::sleep_for(self->m_control.freeze);
  self->m_control.freeze = Duration::zero();
}

Duration
Backend::WorkDuration(const Target& aTarget) const
{
  using Millis = std::chrono::duration<double, std::milli>;
  double defaultMillis = Millis(m_control.work).count();
  Millis work(std::max(0.0, aTarget.Number("ms", defaultMillis)));
  return m_control.WithColdStart(std::chrono::duration_cast<Duration>(work),
                                 m_clock.Now());
}

void
Backend::UpdateHighestFence(const RoutingHeaders& aRouting)
{
  if (aRouting.fence) {
    FenceToken& highest = m_highestFence[aRouting.range];
    highest = std::max(highest, *aRouting.fence);
  }
}

bool
Backend::IsFenced(const RoutingHeaders& aRouting) const
{
  if (m_options.fencing == Fencing::kUnchecked || !aRouting.fence) {
    return false;
  }
  auto highest = m_highestFence.find(aRouting.range);
  return highest != m_highestFence.end() && *aRouting.fence < highest->second;
}

bool
Backend::IsPastDeadline(const RoutingHeaders& aRouting) const
{
  return aRouting.deadline && m_clock.WallNow() >= *aRouting.deadline;
}

void
Backend::Admit(const std::shared_ptr<Job>& aJob)
{
  UpdateHighestFence(aJob->Routing());
  if (m_control.ShouldShed(m_random) ||
      m_running + m_queue.size() >= m_options.slots + m_options.queue) {
    Refuse(*aJob, Outcome::kShed, 503, "shed");
  } else if (m_running < m_options.slots) {
    RunOrRefuse(aJob);
  } else {
    m_queue.push_back(aJob);
    aJob->WaitForSlot();
  }
}

void
Backend::RunOrRefuse(const std::shared_ptr<Job>& aJob)
{
  // Checked when the job starts, since the highest fence and the time may have
  // advanced while the job was queued.
  if (IsFenced(aJob->Routing())) {
    Refuse(*aJob, Outcome::kFenced, 409, "fenced");
  } else if (IsPastDeadline(aJob->Routing())) {
    Refuse(*aJob, Outcome::kTooLate, 503, "too-late");
  } else {
    ++m_running;
    aJob->Run();
  }
}

void
Backend::ReleaseSlot()
{
  --m_running;
  while (!m_queue.empty() && m_running < m_options.slots) {
    std::shared_ptr<Job> job = std::move(m_queue.front());
    m_queue.pop_front();
    RunOrRefuse(job);
  }
}

void
Backend::RemoveFromQueue(const Job& aJob)
{
  std::erase_if(m_queue, [&](const std::shared_ptr<Job>& aOther) {
    return aOther.get() == &aJob;
  });
}

void
Backend::Refuse(Job& aJob, Outcome aOutcome, int aStatus, const char* aReason)
{
  RecordLine line = aJob.Line();
  line.start = line.end = m_clock.WallNow();
  line.outcome = aOutcome;
  m_record.Begin(std::move(line));
  aJob.Refuse(aStatus, aReason);
}

}
