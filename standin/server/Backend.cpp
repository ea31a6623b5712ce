#include "standin/server/Backend.h"

#include <algorithm>
#include <thread>

#include <fmt/format.h>

#include "standin/server/Job.h"

namespace pistachioshift::standin {
namespace {

// Lets the answer to /control leave first.
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
  if (HandleOwn(aExchange, target)) {
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
Backend::HandleOwn(const ExchangePtr& aExchange, const Target& aTarget)
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
    ChangeControl(aTarget);
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
Backend::ChangeControl(const Target& aTarget)
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
Backend::WorkOf(const Target& aTarget) const
{
  using Millis = std::chrono::duration<double, std::milli>;
  double standard = Millis(m_control.work).count();
  Millis work(std::max(0.0, aTarget.Number("ms", standard)));
  return m_control.SlowedDown(std::chrono::duration_cast<Duration>(work),
                              m_clock.Now());
}

void
Backend::NoteFence(const Grant& aGrant)
{
  if (aGrant.fence) {
    FenceToken& highest = m_highestFence[aGrant.range];
    highest = std::max(highest, *aGrant.fence);
  }
}

bool
Backend::IsFenced(const Grant& aGrant) const
{
  if (m_options.fencing == Fencing::kUnchecked || !aGrant.fence) {
    return false;
  }
  auto highest = m_highestFence.find(aGrant.range);
  return highest != m_highestFence.end() && *aGrant.fence < highest->second;
}

bool
Backend::IsTooLate(const Grant& aGrant) const
{
  return aGrant.deadline && m_clock.WallNow() >= *aGrant.deadline;
}

void
Backend::Admit(const std::shared_ptr<Job>& aJob)
{
  NoteFence(aJob->TheGrant());
  if (m_control.DrawShed(m_random) ||
      m_running + m_queue.size() >= m_options.slots + m_options.queue) {
    Refuse(*aJob, Outcome::kShed, 503, "shed");
  } else if (m_running < m_options.slots) {
    RunOrRefuse(aJob);
  } else {
    m_queue.push_back(aJob);
    aJob->Wait();
  }
}

void
Backend::RunOrRefuse(const std::shared_ptr<Job>& aJob)
{
  // Checked when the job starts: both may have changed while it waited.
  if (IsFenced(aJob->TheGrant())) {
    Refuse(*aJob, Outcome::kFenced, 409, "fenced");
  } else if (IsTooLate(aJob->TheGrant())) {
    Refuse(*aJob, Outcome::kTooLate, 503, "too-late");
  } else {
    ++m_running;
    aJob->Run();
  }
}

void
Backend::SlotFreed()
{
  --m_running;
  while (!m_queue.empty() && m_running < m_options.slots) {
    std::shared_ptr<Job> job = std::move(m_queue.front());
    m_queue.pop_front();
    RunOrRefuse(job);
  }
}

void
Backend::Forget(const Job& aJob)
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
