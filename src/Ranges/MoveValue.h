#ifndef PISTACHIOSHIFT_RANGES_MOVEVALUE_H
#define PISTACHIOSHIFT_RANGES_MOVEVALUE_H

#include <cstdint>

#include "src/Base/Clock.h"

namespace pistachioshift {

/** \brief Weights of what a move relieves and of what it costs. */
struct MoveValueSettings
{
  /// Hosts below this utilization have no late requests.
  double minUtilization = 0.6;
  /// Late share of the requests of a host whose load equals its capacity.
  double lateShareAtCapacity = 0.25;
  /// Time that requests for the moved keys wait: two or three heartbeats,
  /// which are sent every 870 ms.
  Duration moveTime = std::chrono::milliseconds(2200);
  /// Time until the load is assumed to change again; a little more than half
  /// of the period of a load wave.
  Duration reliefTime = std::chrono::seconds(10);
  /// Price of changing the owner of all keys, in seconds of the total load. A
  /// move of keys with the mean load is priced at this time of their load.
  Duration ownerChange = std::chrono::seconds(1);
};

/** \brief Load and capacity of a host, in requests per second. */
struct HostUsage
{
  double load = 0.0;
  double capacity = 1.0;
};

/** \brief What a move, and the opposite move of an exchange if there is one,
 * would change. */
struct MoveEffect
{
  double load = 0.0;     ///< Load that the receiver has more than before.
  double waiting = 0.0;  ///< Load of all keys that are moved.
  double keyShare = 0.0; ///< Share of all keys that change owners.
};

/** \brief Requests per second that are refused or late, as a convex function
 * of the load of a host. */
double LateLoad(const HostUsage& aHost, const MoveValueSettings& aSettings);

/**
 * \brief Whether the requests that a move relieves until the load changes
 * exceed those that wait for it and the price of its keys.
 * \param aTotal load of the service, in requests per second.
 */
bool MovePays(const HostUsage& aFrom,
              const HostUsage& aTo,
              const MoveEffect& aEffect,
              double aTotal,
              const MoveValueSettings& aSettings);

}

#endif
