#ifndef PISTACHIOSHIFT_RANGES_RANGETABLE_H
#define PISTACHIOSHIFT_RANGES_RANGETABLE_H

#include <map>
#include <string>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Ranges/KeyRange.h"
#include "src/Ranges/KeyedStore.h"

namespace pistachioshift {

/** \brief Name that a backend server chose; it may keep it over restarts. */
using ServerId = StrongId<struct ServerIdTag, std::string>;

/**
 * \brief Fencing token of a range; each assignment of the range gets a higher
 * one.
 */
using Fence = StrongId<struct FenceTag, int64_t>;

/** \brief One process of a backend server, from its start to its end. */
struct ServerIncarnation
{
  ServerId id;
  WallTime startedAt;

  auto operator<=>(const ServerIncarnation&) const = default;
};

/** \brief Host and backend server process to which a range is assigned. */
struct RangeHolder
{
  HostName host;
  ServerIncarnation incarnation;

  auto operator<=>(const RangeHolder&) const = default;
};

/** \brief Range of one service and its holder. */
struct RangeRow
{
  KeyRange range;
  RangeHolder holder; ///< Empty host name: the range is free.
  Fence fence;
  std::string handover; ///< Token of the previous holder; may be empty.
  /// Assigned in an earlier era of the store. Later assignments may have been
  /// lost, so that the holder is not known until it is confirmed in this era.
  bool unconfirmed = false;

  bool IsFree() const { return holder.host.Value().empty(); }
  bool operator==(const RangeRow&) const = default;
};

/** \brief Record that a host is silent and may have failed. */
struct Suspicion
{
  HostName host;
  int64_t number = 0; ///< Increases over all suspicions of a mesh.

  bool operator==(const Suspicion&) const = default;
};

/** \brief Rows of a service: sorted, without gaps or overlaps. */
using RangeRows = std::vector<RangeRow>;

/**
 * \brief Assignment of key ranges to hosts, shared through the platform's
 * store.
 *
 * The table is always written as a whole, and only if no record was appended
 * since the writer's last read. Concurrent writers therefore never overwrite
 * each other's changes.
 */
class RangeTable
{
public:
  /** \brief Rows of a service; a single free row if it isn't in the table. */
  const RangeRows& RowsOf(const ServiceName& aService) const;

  const RangeRow* Find(const ServiceName& aService, ShardKey aKey) const;

  /** \brief Assigns a range under a fence that is higher than all before. */
  void Assign(const ServiceName& aService,
              const KeyRange& aRange,
              const RangeHolder& aHolder,
              const std::string& aHandover);

  /** \brief Records a holder that had a range under a fence of an earlier era.
   */
  void Confirm(const ServiceName& aService, const RangeRow& aRow);

  /**
   * \brief Starts an era of the store in a table that may lack the latest
   * changes of the eras before: all rows become unconfirmed, and the fences and
   * suspicions to come are numbered above all that may have been lost.
   */
  void BeginEra(StoreEra aEra);

  /** \brief Frees the rows that no holder has confirmed, and ends the time in
   * which rows can be confirmed. */
  void Settle();

  /** \brief Whether a service has rows, all of them confirmed. */
  bool IsConfirmed(const ServiceName& aService) const;

  /** \brief Removes the holder of a range; keeps the given handover token. */
  void Free(const ServiceName& aService,
            const KeyRange& aRange,
            const std::string& aHandover);

  /**
   * \brief Adds a suspicion unless the host has one.
   * \return the number of the host's suspicion.
   */
  int64_t Suspect(const HostName& aHost);
  const Suspicion* FindSuspicion(const HostName& aHost) const;
  void DropSuspicion(const HostName& aHost);

  bool operator==(const RangeTable&) const = default;

  int64_t revision = 0; ///< Number of changes written so far.
  int64_t nextFence = 1;
  int64_t nextSuspicion = 1;
  std::map<ServiceName, RangeRows> services;
  std::vector<Suspicion> suspicions;
  StoreEra era;        ///< Of the store; rows of earlier ones are unconfirmed.
  StoreEra writtenEra; ///< In which this revision was written.
  bool settled = true; ///< No rows are unconfirmed any more.

private:
  void Replace(const ServiceName& aService, const RangeRow& aRow);
};

/** \brief Table to be written, together with the removal of host records. */
struct TableDraft
{
  RangeTable table;
  std::vector<HostName> removedHosts; ///< Failed hosts.
};

}

#endif
