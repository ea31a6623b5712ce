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
  /**
   * \param aDirectBytes answers up to this size never wait.
   * \param aBytesPerSecond rate at which large ones go out; 0: not known.
   */
  explicit LinkAdmission(size_t aDirectBytes, double aBytesPerSecond = 0.0)
    : m_directBytes(static_cast<double>(aDirectBytes))
    , m_rate(aBytesPerSecond)
  {
  }

  /** \brief Takes in the size of an answer. */
  void RecordSize(std::string_view aTarget, size_t aBytes);

  /** \brief Bytes of the answer as far as they wait for the link, else 0. */
  size_t ExpectedLinkBytes(std::string_view aTarget) const;

  /** \brief Accounts for an answer that is being made. */
  void Reserve(size_t aBytes) { m_committed += aBytes; }
  void Release(size_t aBytes) { m_committed -= aBytes; }

  /**
   * \brief Time that an answer will wait once it is made.
   * \param aBacklog of the link, now.
   * \param aService time that making the answer takes.
   */
  Duration ExpectedWait(Duration aBacklog, Duration aService) const;

  /**
   * \param aWait time that a large answer would wait.
   * \param aGoal time in which the caller hopes for an answer; 0: none.
   */
  bool Admits(std::string_view aTarget, Duration aWait, Duration aGoal) const;

private:
  double m_directBytes;
  double m_rate;
  size_t m_committed = 0; ///< Bytes of answers that are being made.
  std::unordered_map<std::string, double> m_meanBytes;
};

}

#endif
