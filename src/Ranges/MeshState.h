#ifndef PISTACHIOSHIFT_RANGES_MESHSTATE_H
#define PISTACHIOSHIFT_RANGES_MESHSTATE_H

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/Base/Error.h"
#include "src/Ranges/KeyedStore.h"
#include "src/Ranges/TableChange.h"

namespace pistachioshift {

/** \brief Error of the ranges package: records that can't be read. */
class RangesError : public Error
{
public:
  using Error::Error;
};

/** \brief A change comes without the one before it. */
class MissingBaseError : public RangesError
{
public:
  using RangesError::RangesError;
};

enum class ServerState : uint8_t
{
  kReady,
  kDraining, ///< Leaves soon; gets no new keys.
  kSilent,   ///< Heartbeats are missing and its holds have run out.
};

/** \brief The backend server beside a daemon, as the daemon saw it last. */
struct ServerStatus
{
  ServerIncarnation incarnation;
  uint32_t slots = 0;
  ServerState state = ServerState::kReady;

  bool operator==(const ServerStatus&) const = default;
};

/** \brief What a daemon says of its host; written by that daemon only. */
struct HostRecord
{
  HostName host;
  int64_t epoch = 0; ///< Higher at every start of the daemon.
  Endpoint inner;    ///< For other daemons.
  ZoneName zone;
  ServiceName service;
  std::optional<ServerStatus> server;
  int64_t refutedUpTo = 0; ///< Suspicions up to this number are refuted.

  bool operator==(const HostRecord&) const = default;
};

/**
 * \brief Hosts and ranges, as read from the store up to an offset. Pure.
 *
 * A row's holder counts only while the record of its host names the same
 * incarnation of the backend server. A daemon changes the incarnation in its
 * record only after the earlier one certainly serves no more.
 */
class MeshState
{
public:
  /**
   * \brief Takes in a record of the store, or a change of the table.
   * \throws RangesError if it can't be read, MissingBaseError if earlier
   * changes are missing; the state is then unchanged.
   */
  void Apply(const StoreEntry& aEntry);

  const RangeTable& Table() const { return m_table; }
  const std::map<HostName, HostRecord>& Hosts() const { return m_hosts; }
  const HostRecord* FindHost(const HostName& aHost) const;

  /** \brief Host that holds a row; nullptr if the row is to be assigned. */
  const HostRecord* HolderOf(const RangeRow& aRow) const;

  /** \brief Whether a suspicion of a host stands. */
  bool Suspected(const HostName& aHost) const;

  /** \brief Whether a host can be given keys. */
  bool CanTakeKeys(const HostRecord& aHost) const;

private:
  void ApplyChange(const TableChange& aChange);

  RangeTable m_table;
  std::map<HostName, HostRecord> m_hosts;
};

/** \brief Record of a host for the store. */
StoreEntry EncodeHost(const HostRecord& aHost);

/** \brief Record that removes a host that is gone. */
StoreEntry RemoveHost(const HostName& aHost);

StoreEntry EncodeTable(const RangeTable& aTable);

/** \brief Whether a record holds a whole table. */
bool IsTable(const StoreEntry& aEntry);

/** \brief A change, to be told to other hosts instead of the table. */
StoreEntry EncodeChange(const TableChange& aChange);

}

#endif
