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

/**
 * \brief Request handling of the backend server stand-in.
 *
 * Limits concurrent requests to its slots, queues a bounded number of others,
 * and refuses requests with outdated fences or past deadlines.
 */
class Backend
{
public:
  using ExchangePtr = std::shared_ptr<ServerExchange>;

  Backend(event_base* aBase, const Options& aOptions, const Clock& aClock);

  void Handle(const ExchangePtr& aExchange);

  // Used by jobs.
  event_base* Base() const { return m_base; }
  Record& RequestRecord() { return m_record; }
  WallTime WallNow() const { return m_clock.WallNow(); }
  Duration WorkDuration(const Target& aTarget) const;

  /** \brief Frees the slot of a job that ended and starts queued jobs. */
  void ReleaseSlot();

  /** \brief Removes a cancelled job from the queue. */
  void RemoveFromQueue(const Job& aJob);

private:
  /** Answers /health, /load, /record and /control; false for other paths. */
  bool HandleManagement(const ExchangePtr& aExchange, const Target& aTarget);
  void Admit(const std::shared_ptr<Job>& aJob);
  void RunOrRefuse(const std::shared_ptr<Job>& aJob);
  void Refuse(Job& aJob, Outcome aOutcome, int aStatus, const char* aReason);
  void UpdateHighestFence(const RoutingHeaders& aRouting);
  bool IsFenced(const RoutingHeaders& aRouting) const;
  bool IsPastDeadline(const RoutingHeaders& aRouting) const;
  std::string LoadReport() const;
  void ApplyControl(const Target& aTarget);
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

/** \brief Sends a complete response with a small body. */
void Reply(ServerExchange& aExchange,
           int aStatus,
           const std::string& aBody,
           Headers aHeaders = {});

}

#endif
