#ifndef PISTACHIOSHIFT_ROUTING_SERVERPACE_H
#define PISTACHIOSHIFT_ROUTING_SERVERPACE_H

#include <deque>
#include <optional>
#include <unordered_map>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Routing/AdmissionController.h"
#include "src/Routing/ColdState.h"
#include "src/Routing/SlowStart.h"
#include "src/Routing/UsualTimes.h"

namespace pistachioshift {

/** \brief What the operator states about cold servers of a service. */
struct ColdPace
{
  double perSecond = 0.0; ///< Requests that one takes; 0: not stated.
  Duration coldTime{};    ///< How long one stays cold; 0: not stated.

  bool operator==(const ColdPace&) const = default;
};

/** \brief Limits that apply now; nullopt: none. */
struct PaceLimits
{
  std::optional<double> perSecond;
  std::optional<uint32_t> slots;

  bool operator==(const PaceLimits&) const = default;
};

/** \brief Why a server is paced. */
enum class PaceReason : uint8_t
{
  kNone,
  kCold,      ///< It says that it is cold.
  kMaybeCold, ///< It may be cold; it is asked, or its next heartbeat says so.
  kSlowStart, ///< It has just started or recovered; no pace is stated.
};

const char* ToString(PaceReason aReason);

/** \brief Relation of a heartbeat to what was known of the server before. */
enum class HeartbeatOrigin : uint8_t
{
  kKnown,     ///< The server that was known.
  kReturned,  ///< The same, after its heartbeats had stopped.
  kRestarted, ///< A later start than the known one.
  kFirst,     ///< No server was known on this host.
};

struct PaceHeartbeat
{
  HeartbeatOrigin origin = HeartbeatOrigin::kKnown;
  Duration coldLeft{}; ///< Stated time for which it stays cold.
  Duration age{};      ///< Time since its start; only used for kFirst.
};

/**
 * \brief Pace of the requests to a backend server that has just started or
 * recovered. Does no input or output and reads no clock.
 *
 * With a stated pace, the server gets that pace while it is cold or may be
 * cold, and fewer requests at once while it fails. Without one, the number of
 * requests at once rises with the answers.
 *
 * \sa ColdState, SlowStart, AdmissionController::SetPace
 */
class ServerPace
{
public:
  explicit ServerPace(MonoTime aNow);

  void SetColdPace(const ColdPace& aPace) { m_stated = aPace; }

  /** \brief Sets the limit of requests at once without a pace. */
  void SetSlots(uint32_t aSlots, MonoTime aNow);

  /** \brief Sets whether the server can be asked if it is cold. Slow answers
   * alone are a reason to ask, and none to pace a server that can't be asked.
   */
  void SetHealthChecks(bool aPossible) { m_canAsk = aPossible; }

  void OnHeartbeat(const PaceHeartbeat& aHeartbeat, MonoTime aNow);

  /** \brief Heartbeats have stopped. */
  void OnSilent(MonoTime aNow);

  /**
   * \brief A health check was answered.
   * \param aLeft stated time for which the server stays cold; nullopt: not
   * stated.
   */
  void OnHealth(std::optional<Duration> aLeft,
                MonoTime aAskedAt,
                MonoTime aNow);

  /** \brief A health check was not answered. */
  void OnHealthUnanswered() { m_checking = false; }

  /**
   * \brief A request is sent to the server.
   * \param aGoal target latency, used while the usual time is not known.
   */
  void OnStarted(const RequestId& aId,
                 ClassIndex aClass,
                 Duration aGoal,
                 MonoTime aNow);

  /** \brief A request has ended; unknown ids are ignored. */
  void OnEnded(const RequestId& aId, ServiceResult aResult, MonoTime aNow);

  /**
   * \brief A connection to the server failed, or was closed before the end of
   * an answer.
   * \param aStarted when the request was started.
   * \param aRefused nothing listens at the server's address.
   */
  void OnConnectionLost(MonoTime aStarted, bool aRefused, MonoTime aNow);

  /** \brief The evacuation of the server's zone has ended. */
  void OnEvacuationEnded(MonoTime aNow);

  /** \brief Whether the server must be asked now whether it is cold. */
  bool WantsHealthCheck(MonoTime aNow) const;

  /** \brief A health check that WantsHealthCheck() called for is sent. */
  void OnHealthCheckSent(MonoTime aNow);

  /** \brief Looks at the requests that run and at the time; to be called
   * several times a second. */
  void OnTick(MonoTime aNow);

  PaceLimits Limits(MonoTime aNow) const;
  PaceReason Reason(MonoTime aNow) const;

  /** \brief Whether the configuration states a pace. */
  bool HasStatedPace() const { return m_stated.perSecond > 0.0; }

private:
  struct RunningRequest
  {
    ClassIndex requestClass;
    Duration goal{};
    MonoTime started;
  };

  bool IsCold(MonoTime aNow) const;
  void UpdateCold(MonoTime aNow);
  void BeginSlowStart(MonoTime aNow);
  void OnAnswered(const RunningRequest& aRequest, MonoTime aNow);
  bool IsLate(const RunningRequest& aRequest, MonoTime aNow) const;
  bool IsSlow(const RunningRequest& aRequest, MonoTime aNow) const;
  bool AnswersAreSlow(MonoTime aNow) const;
  double ChecksAt(MonoTime aNow) const;

  ColdPace m_stated;
  uint32_t m_slots = 1;
  ColdState m_cold;
  SlowStart m_slowStart;
  UsualTimes m_usual;
  std::unordered_map<RequestId, RunningRequest> m_running;
  /// Whether each of the latest answers took much longer than usual.
  std::deque<bool> m_slowAnswers;
  bool m_wasCold = false;
  MonoTime m_warmSince; ///< Answers to earlier requests show nothing.
  uint32_t m_lostInARow = 0;
  bool m_canAsk = false;
  bool m_checking = false; ///< A health check is on its way.
  double m_checks;         ///< That might be sent at m_checksAt.
  MonoTime m_checksAt;
  MonoTime m_nextSlowCheck;
};

}

#endif
