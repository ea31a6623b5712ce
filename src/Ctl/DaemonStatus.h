#ifndef PISTACHIOSHIFT_CTL_DAEMONSTATUS_H
#define PISTACHIOSHIFT_CTL_DAEMONSTATUS_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/Base/Ids.h"

namespace pistachioshift {

/** \brief A member of the mesh, as a daemon sees it. */
struct MemberStatus
{
  DaemonId daemon;
  HostName host;
  ZoneName zone;
  std::string address;
  uint16_t operatorsPort = 0; ///< 0: not told.
  bool leaving = false;
};

/** \brief Who may serve a range or a pinned key. */
struct EntryStatus
{
  ServiceName service;
  RangeIndex range;
  std::string pinnedKey; ///< Empty: the range itself.
  Offset entry;
  DaemonId owner;
  std::optional<DaemonId> holder;
  std::vector<DaemonId> heirs;
};

/** \brief What a daemon's status page says. */
struct DaemonStatus
{
  DaemonId daemon;  ///< 0 before it joined.
  std::string boot; ///< Tells processes apart that haven't joined.
  HostName host;
  ZoneName zone;
  DaemonId planner;
  bool logConnected = false;
  Offset documentVersion;
  std::map<SectionName, Offset> sections;
  std::vector<MemberStatus> members;
  std::vector<EntryStatus> entries;
};

/** \brief What asking many daemons gave. */
struct MeshAnswers
{
  std::vector<DaemonStatus> answers;
  std::vector<Endpoint> silent; ///< Asked, but without an answer.
};

/** \brief Reads a status page; throws UnreachableError if it is none. */
DaemonStatus ParseDaemonStatus(const std::string& aJson);

/** \brief Who serves a key, as a daemon explains it. */
struct KeyExplanation
{
  std::string error; ///< Empty: none.
  bool keyed = false;
  RangeIndex range;
  bool pinned = false;
  std::vector<DaemonId> route;     ///< Where requests are tried, in order.
  std::vector<DaemonId> instances; ///< Of a service that isn't keyed.
  std::vector<EntryStatus> chain;  ///< Oldest first; the last is in force.
};

/** \brief Reads an explanation; throws UnreachableError if it is none. */
KeyExplanation ParseExplanation(const std::string& aJson);

}

#endif
