#ifndef PISTACHIOSHIFT_ROUTING_PRIORITYBALANCE_H
#define PISTACHIOSHIFT_ROUTING_PRIORITYBALANCE_H

#include <optional>
#include <vector>

#include "src/Routing/DecayingSum.h"

namespace pistachioshift {

/** \brief How a class of requests is served compared with the others. */
enum class PriorityStanding : uint8_t
{
  kStarving,   ///< Served far less often than all classes together.
  kNormal,     ///< In proportion, or nothing is refused.
  kOverServed, ///< Refused less often than a more urgent class.
};

/**
 * \brief Compares how often the requests of each class are refused.
 *
 * Weights fix the shares of work, whatever the classes ask for: a class with
 * few requests is served nearly always, and one with many is not, whichever is
 * more urgent. Classes are numbered by urgency, 0 being the most urgent. Does
 * no I/O and reads no clock.
 */
class PriorityBalance
{
public:
  explicit PriorityBalance(size_t aClasses)
    : m_classes(aClasses)
  {
  }

  void OnArrival(size_t aClass, MonoTime aNow);

  /** \brief Counts an arrived request that is refused. */
  void OnRefused(size_t aClass, MonoTime aNow);

  /** \brief As of the last arrival. */
  PriorityStanding StandingOf(size_t aClass) const
  {
    return m_classes[aClass].standing;
  }

private:
  static constexpr Duration kMemory = std::chrono::seconds(5);

  struct ClassCounts
  {
    internal::DecayingSum arrived{ kMemory };
    internal::DecayingSum refused{ kMemory };
    PriorityStanding standing = PriorityStanding::kNormal;
  };

  void Update(MonoTime aNow);

  std::vector<ClassCounts> m_classes;
  std::optional<MonoTime> m_updatedAt;
};

}

#endif
