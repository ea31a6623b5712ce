#ifndef PISTACHIOSHIFT_STANDIN_SERVER_BACKEND_H
#define PISTACHIOSHIFT_STANDIN_SERVER_BACKEND_H

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "Pistachioshift/Http"
#include "src/Base/Random.h"
#include "src/Http/internal/EventHandles.h"
#include "standin/server/Control.h"
#include "standin/server/Options.h"
#include "standin/server/Record.h"

namespace pistachioshift::standin {

class Job;

/** \brief Slots, queue, fences and control of the stand-in. */
class Backend
{
public:
  using ExchangePtr = std::shared_ptr<ServerExchange>;

  Backend(event_base* aBase, const Options& aOptions, const Clock& aClock);

  void Handle(const ExchangePtr& aExchange);

  // For jobs.
  event_base* Base() const { return m_base; }
  Record& Lines() { return m_record; }
  WallTime WallNow() const { return m_clock.WallNow(); }
  Duration WorkOf(const Target& aTarget) const;

  /** \brief Lets the next job run in the place of one that ended. */
  void SlotFreed();

  /** \brief Takes a job that was cancelled out of the queue. */
  void Forget(const Job& aJob);

private:
  bool HandleOwn(const ExchangePtr& aExchange, const Target& aTarget);
  void Admit(const std::shared_ptr<Job>& aJob);
  void RunOrRefuse(const std::shared_ptr<Job>& aJob);
  void Refuse(Job& aJob, Outcome aOutcome, int aStatus, const char* aReason);
  void NoteFence(const Grant& aGrant);
  bool IsFenced(const Grant& aGrant) const;
  bool IsTooLate(const Grant& aGrant) const;
  std::string LoadReport() const;
  void ChangeControl(const Target& aTarget);
  static void HandleFreeze(evutil_socket_t aSocket, short aWhat, void* aSelf);

  event_base* m_base;
  Options m_options;
  const Clock& m_clock;
  Control m_control;
  Record m_record;
  RandomEngine m_random{ std::random_device{}() };
  std::map<std::string, FenceToken> m_highestFence; ///< By range.
  std::deque<std::shared_ptr<Job>> m_queue;
  size_t m_running = 0;
  internal::EventPtr m_freeze;
};

/** \brief Answers with a small body. */
void Reply(ServerExchange& aExchange,
           int aStatus,
           const std::string& aBody,
           Headers aHeaders = {});

}

#endif
