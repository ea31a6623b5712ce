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

/** \brief Error of the ranges package: a store record is malformed. */
class RangesError : public Error
{
public:
  using Error::Error;
};

/** \brief A table was written in an earlier era than the one that is known. */
class OutdatedTableError : public RangesError
{
public:
  using RangesError::RangesError;
};

/** \brief A table change does not apply to the revision that is known. */
class MissingBaseError : public RangesError
{
public:
  using RangesError::RangesError;
};

enum class ServerState : uint8_t
{
  kReady,
  kDraining, ///< About to stop; gets no new keys.
  kSilent,   ///< No heartbeats; its holds have expired.
};

/** \brief State of a host's backend server, as its daemon last observed it. */
struct ServerStatus
{
  ServerIncarnation incarnation;
  uint32_t slots = 0;
  ServerState state = ServerState::kReady;
  /// The backend server itself leaves, not only the daemon beside it.
  bool leaving = false;

  bool operator==(const ServerStatus&) const = default;
};

/** \brief Unexpected end of a host's backend server, and the requests that were
 * running then. */
struct ServerEndRecord
{
  uint64_t id = 0;
  std::vector<RequestFingerprint> running; ///< Not answered since.
  WallTime at;                             ///< When it was noticed.
  uint32_t requests = 0; ///< Running then, answered since or not.

  bool operator==(const ServerEndRecord&) const = default;
};

/** \brief Request that was running at an end of a backend server, of any host,
 * and has been answered completely since. */
struct AnsweredRequest
{
  uint64_t end = 0; ///< ServerEndRecord::id
  RequestFingerprint request;

  auto operator<=>(const AnsweredRequest&) const = default;
};

/** \brief Range that a backend server may hold under a grant of an earlier era
 * of the store. */
struct ClaimedRange
{
  KeyRange range;
  Fence fence;
  std::string handover;

  bool operator==(const ClaimedRange&) const = default;
};

/** \brief Record of a host; only the daemon of that host writes it. */
struct HostRecord
{
  HostName host;
  int64_t epoch = 0; ///< Increases with each start of the daemon.
  Endpoint inner;    ///< Address for other daemons.
  ZoneName zone;
  ServiceName service;
  std::optional<ServerStatus> server;
  int64_t refutedUpTo = 0; ///< Number of the last refuted suspicion.
  int32_t cpuMillis = 0;   ///< Processor share, in thousandths of a core.
  std::vector<ServerEndRecord> serverEnds; ///< Latest ends, oldest first.
  std::vector<AnsweredRequest> answered;   ///< Here, at ends of other hosts.
  StoreEra era; ///< Of the store, when the record was written.
  /// What the backend server held when the era began. Only this host can know.
  std::vector<ClaimedRange> claims;

  bool operator==(const HostRecord&) const = default;
};

/**
 * \brief Hosts and ranges, as read from the store up to some offset. Performs
 * no I/O.
 *
 * The holder of a row is valid only while the record of its host names the same
 * incarnation of the backend server. A daemon replaces the incarnation in its
 * record only once the previous one can no longer serve requests.
 */
class MeshState
{
public:
  MeshState() = default;

  /**
   * \param aEra era of the store from which the records are read.
   * \param aReturned whether the store is known to have lost records; a missing
   * table may then be a lost one.
   * \param aHostsVersion first HostsVersion().
   */
  MeshState(StoreEra aEra, bool aReturned, uint64_t aHostsVersion);

  /**
   * \brief Applies a store record or a table change.
   * \throws RangesError if the record is malformed, MissingBaseError if earlier
   * changes are missing, OutdatedTableError if a table of an earlier era
   * follows one of this era. The state is then unchanged.
   */
  void Apply(const StoreEntry& aEntry);

  const RangeTable& Table() const { return m_table; }
  const std::map<HostName, HostRecord>& Hosts() const { return m_hosts; }
  const HostRecord* FindHost(const HostName& aHost) const;

  /**
   * \brief Changes with each change of a host's record or of the suspicions,
   * but not with changes of rows.
   */
  uint64_t HostsVersion() const { return m_hostsVersion; }

  /** \brief Host that holds a row; nullptr if the row has no valid holder, or
   * it is unconfirmed. */
  const HostRecord* HolderOf(const RangeRow& aRow) const;

  /**
   * \brief Whether a row may be reassigned: it is confirmed and has no holder,
   * or its host's record names a later incarnation. A record with an earlier
   * incarnation than the row is outdated and proves no end. A missing record
   * proves none either, as the rows of a host are freed together with it.
   */
  bool MayReassign(const RangeRow& aRow) const;

  /** \brief Whether a host has a suspicion that it has not refuted. */
  bool Suspected(const HostName& aHost) const;

  /** \brief Whether ranges can be assigned to a host. */
  bool CanTakeKeys(const HostRecord& aHost) const;

private:
  void ApplyChange(const TableChange& aChange);
  void ReplaceTable(RangeTable aTable);
  RangeTable EmptyTable() const;
  void BeginEraOfLostTable();

  StoreEra m_era;
  bool m_hasTable = false; ///< A record of the table has been applied.
  RangeTable m_table;
  std::map<HostName, HostRecord> m_hosts;
  uint64_t m_hostsVersion = 0;
};

/** \brief Store record of a host. */
StoreEntry EncodeHost(const HostRecord& aHost);

/** \brief Store record that deletes the record of a failed host. */
StoreEntry RemoveHost(const HostName& aHost);

StoreEntry EncodeTable(const RangeTable& aTable);

}

#endif
