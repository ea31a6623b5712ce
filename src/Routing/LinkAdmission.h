#ifndef PISTACHIOSHIFT_ROUTING_LINKADMISSION_H
#define PISTACHIOSHIFT_ROUTING_LINKADMISSION_H

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

#include "src/Base/Clock.h"

namespace pistachioshift {

/**
 * \brief Refuses requests whose answers would queue too long for the link.
 *
 * A queue in front of a saturated link adds latency and no throughput. Requests
 * with the same first path segment are taken to have answers of similar size;
 * the expected size is a moving average for the segment. Small answers don't
 * queue for the link. Does no input or output and reads no clock.
 */
class LinkAdmission
{
public:
  /**
   * \param aDirectBytes answers up to this size never queue for the link.
   * \param aBytesPerSecond send rate of larger answers; 0 if unknown.
   */
  explicit LinkAdmission(size_t aDirectBytes, double aBytesPerSecond = 0.0)
    : m_directBytes(static_cast<double>(aDirectBytes))
    , m_rate(aBytesPerSecond)
  {
  }

  /** \brief Updates the mean size for a target with the size of an answer. */
  void RecordSize(std::string_view aTarget, size_t aBytes);

  /** \brief Expected size of an answer in bytes; 0 if it's small or unknown. */
  size_t ExpectedLinkBytes(std::string_view aTarget) const;

  /** \brief Reserves link capacity for an answer that is in preparation. */
  void Reserve(size_t aBytes) { m_reservedBytes += aBytes; }

  /** \brief Ends a reservation. */
  void Release(size_t aBytes) { m_reservedBytes -= aBytes; }

  /**
   * \brief Expected time that an answer, once ready, queues for the link.
   * \param aBacklog time that the link needs for what is queued now.
   * \param aService time until the answer is ready.
   */
  Duration ExpectedWait(Duration aBacklog, Duration aService) const;

  /**
   * \brief Whether to admit a request.
   * \param aWait time that a large answer would queue for the link.
   * \param aTargetLatency latency that the caller wants; 0 if it named none.
   */
  bool Admits(std::string_view aTarget,
              Duration aWait,
              Duration aTargetLatency) const;

private:
  double m_directBytes;
  double m_rate;
  size_t m_reservedBytes = 0; ///< Of answers in preparation.
  std::unordered_map<std::string, double> m_meanBytes;
};

}

#endif
