#ifndef PISTACHIOSHIFT_ROUTING_CRASHSUSPECTS_H
#define PISTACHIOSHIFT_ROUTING_CRASHSUSPECTS_H

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"

namespace pistachioshift {

/** \brief Identifies the end of one backend server process. */
using ServerEndId = StrongId<struct ServerEndIdTag, uint64_t>;

/** \brief Unexpected end of a backend server, and what it was running then. */
struct ServerEnd
{
  ServerEndId id;
  std::vector<RequestFingerprint> running; ///< Each request once.
  /// Requests that were running, if some have been left out above.
  std::optional<size_t> requests;

  bool operator==(const ServerEnd&) const = default;
};

/** \brief How a request may be run, as far as servers have ended under it. */
enum class SuspicionLevel : uint8_t
{
  kNone,     ///< Beside any others.
  kSuspect,  ///< Not beside another suspect, so that its guilt shows.
  kExcluded, ///< Not at all.
};

struct CrashSuspicion
{
  SuspicionLevel level = SuspicionLevel::kNone;
  uint32_t ends = 0; ///< Servers that have ended under the request.
  MonoTime until;    ///< When the suspicion expires.
};

/** \brief Time from the last end until a suspicion expires. */
inline constexpr Duration kCrashRetention = std::chrono::minutes(10);

struct CrashSuspectSettings
{
  /// Ends from which a request is excluded.
  uint32_t fatalEnds = 3;
  /// Same, if the request was the only one running at one of them.
  uint32_t fatalEndsAlone = 2;
  size_t maxRequests = 4096; ///< The oldest suspicions are dropped first.
  size_t maxEnds = 8192;     ///< Ends that are recognized if they come again.
};

/**
 * \brief Finds requests under which backend servers end ("query of death").
 * Performs no I/O.
 *
 * Every request that was running when a server ended is a suspect. A suspect
 * that is answered completely is cleared, so that a popular request is not
 * blamed for the ends that it happens to be running at. One end excludes no
 * request.
 */
class CrashSuspects
{
public:
  explicit CrashSuspects(CrashSuspectSettings aSettings = {});

  /** \brief Adds an end; one that is known already changes nothing. */
  void AddEnd(const ServerEnd& aEnd, MonoTime aNow);

  /**
   * \brief Clears a request that a server has answered completely.
   * \return the ends of which it was suspected; empty for most requests.
   */
  std::vector<ServerEndId> OnCompleted(RequestFingerprint aRequest);

  /** \brief Clears a request of one end: it has been answered completely at
   * another host since. */
  void OnAnsweredSince(ServerEndId aEnd, RequestFingerprint aRequest);

  CrashSuspicion Judge(RequestFingerprint aRequest, MonoTime aNow) const;

  /** \brief Number of requests with an open suspicion. */
  size_t Size() const { return m_requests.size(); }

private:
  struct EndOfRequest
  {
    ServerEndId id;
    bool alone = false; ///< The only request running then.
  };

  struct Entry
  {
    std::vector<EndOfRequest> ends;
    MonoTime lastEnd;
  };

  struct Hash
  {
    size_t operator()(RequestFingerprint aRequest) const
    {
      return aRequest.Value();
    }
  };

  void RemoveExpired(MonoTime aNow);
  void RemoveOldest();
  void RemoveOldestEnd();

  CrashSuspectSettings m_settings;
  std::unordered_map<RequestFingerprint, Entry, Hash> m_requests;
  std::map<ServerEndId, MonoTime> m_ends; ///< Known ends, by when they came.
};

}

#endif
