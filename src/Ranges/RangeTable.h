#ifndef PISTACHIOSHIFT_RANGES_RANGETABLE_H
#define PISTACHIOSHIFT_RANGES_RANGETABLE_H

#include <map>
#include <string>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Ranges/KeyRange.h"

namespace pistachioshift {

/** \brief Name that a backend server gives itself; may outlive a restart. */
using ServerId = StrongId<struct ServerIdTag, std::string>;

/** \brief Order of grants: a range that changes hands gets a higher fence. */
using Fence = StrongId<struct FenceTag, int64_t>;

/** \brief One start of a backend server. */
struct ServerIncarnation
{
  ServerId id;
  WallTime startedAt;

  auto operator<=>(const ServerIncarnation&) const = default;
};

/** \brief Where a range goes. */
struct RangeHolder
{
  HostName host;
  ServerIncarnation incarnation;

  auto operator<=>(const RangeHolder&) const = default;
};

/** \brief A range of one service and who holds it. */
struct RangeRow
{
  KeyRange range;
  RangeHolder holder; ///< Empty host: free.
  Fence fence;
  std::string handover; ///< Token of the holder before; empty if none.

  bool IsFree() const { return holder.host.Value().empty(); }
  bool operator==(const RangeRow&) const = default;
};

/** \brief A host from which nothing has been heard. */
struct Suspicion
{
  HostName host;
  int64_t number = 0; ///< Grows over all suspicions of a mesh.

  bool operator==(const Suspicion&) const = default;
};

/** \brief Rows of a service: sorted, without gaps or overlaps. */
using RangeRows = std::vector<RangeRow>;

/**
 * \brief Who holds which keys, as agreed through the platform's store.
 *
 * Every change is written as a whole under the condition that nothing was
 * written since the writer last read, so that writers never overwrite each
 * other's changes.
 */
class RangeTable
{
public:
  /** \brief Rows of a service; one free row if the table doesn't have it. */
  const RangeRows& RowsOf(const ServiceName& aService) const;

  const RangeRow* Find(const ServiceName& aService, ShardKey aKey) const;

  /** \brief Gives a range to a holder under a fence above all earlier ones. */
  void Assign(const ServiceName& aService,
              const KeyRange& aRange,
              const RangeHolder& aHolder,
              const std::string& aHandover);

  /** \brief Takes a range away from its holder; a token may be kept. */
  void Free(const ServiceName& aService,
            const KeyRange& aRange,
            const std::string& aHandover);

  /** \brief Notes that a host is silent; \return its number, also if noted. */
  int64_t Suspect(const HostName& aHost);
  const Suspicion* FindSuspicion(const HostName& aHost) const;
  void DropSuspicion(const HostName& aHost);

  bool operator==(const RangeTable&) const = default;

  int64_t revision = 0; ///< Changes so far.
  int64_t nextFence = 1;
  int64_t nextSuspicion = 1;
  std::map<ServiceName, RangeRows> services;
  std::vector<Suspicion> suspicions;

private:
  void Replace(const ServiceName& aService, const RangeRow& aRow);
};

/** \brief A change of the table that is written as a whole. */
struct TableDraft
{
  RangeTable table;
  std::vector<HostName> removedHosts; ///< Hosts that are gone.
};

}

#endif
