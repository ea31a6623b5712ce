#ifndef PISTACHIOSHIFT_ROUTING_LINKADMISSION_H
#define PISTACHIOSHIFT_ROUTING_LINKADMISSION_H

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

#include "src/Base/Clock.h"

namespace pistachioshift {

/**
 * \brief Refuses requests whose answers would wait too long for the link. Pure.
 *
 * A link carries as many answers whether they wait long or not. Requests of
 * the same first path segment have answers of about the same size, which is
 * learned; small ones don't wait.
 */
class LinkAdmission
{
public:
  /** \param aDirectBytes answers up to this size never wait. */
  explicit LinkAdmission(size_t aDirectBytes)
    : m_directBytes(static_cast<double>(aDirectBytes))
  {
  }

  /** \brief Takes in the size of an answer. */
  void Learn(std::string_view aTarget, size_t aBytes);

  /**
   * \param aWait time that a large answer would wait now.
   * \param aGoal time in which the caller hopes for an answer; 0: none.
   */
  bool Admits(std::string_view aTarget, Duration aWait, Duration aGoal) const;

private:
  double m_directBytes;
  std::unordered_map<std::string, double> m_meanBytes;
};

}

#endif
