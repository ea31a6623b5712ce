#include "src/Ranges/MeshState.h"

#include <utility>

#include "src/Log/LogCodec.h"
#include "src/Ranges/gen/ranges_types.h"

namespace pistachioshift {

namespace {

constexpr std::string_view kTableKey = "ranges";
constexpr std::string_view kChangeKey = "ranges/change";
constexpr std::string_view kHostPrefix = "host/";

/** Limit of items in one list of a record; above the rows of any deployment. */
constexpr size_t kMaxListItems = size_t{ 1 } << 20U;

WallTime
ToWallTime(int64_t aMillis)
{
  return WallTime(std::chrono::milliseconds(aMillis));
}

int64_t
ToMillis(WallTime aTime)
{
  return aTime.time_since_epoch().count();
}

ServerState
StateFromWire(int32_t aState)
{
  constexpr auto kLast = static_cast<int32_t>(ServerState::kSilent);
  if (aState < 0 || aState > kLast) {
    throw RangesError("host record with unknown state of the backend server");
  }
  return static_cast<ServerState>(aState);
}

uint16_t
PortFromWire(int32_t aPort)
{
  if (aPort < 0 || aPort > UINT16_MAX) {
    throw RangesError("host record with a port out of range");
  }
  return static_cast<uint16_t>(aPort);
}

uint32_t
SlotsFromWire(int32_t aSlots)
{
  if (aSlots < 0) {
    throw RangesError("host record with a negative number of slots");
  }
  return static_cast<uint32_t>(aSlots);
}

ServerEndRecord
FromWire(const ranges_idl::WireServerEnd& aEnd)
{
  ServerEndRecord end;
  end.id = static_cast<uint64_t>(aEnd.id);
  end.at = ToWallTime(aEnd.atMillis);
  for (const auto request : aEnd.running) {
    end.running.emplace_back(static_cast<uint64_t>(request));
  }
  end.requests = aEnd.__isset.requests && aEnd.requests >= 0
                   ? static_cast<uint32_t>(aEnd.requests)
                   : static_cast<uint32_t>(aEnd.running.size());
  return end;
}

ranges_idl::WireServerEnd
ToWire(const ServerEndRecord& aEnd)
{
  ranges_idl::WireServerEnd wire;
  wire.id = static_cast<int64_t>(aEnd.id);
  wire.atMillis = ToMillis(aEnd.at);
  for (const auto request : aEnd.running) {
    wire.running.push_back(static_cast<int64_t>(request.Value()));
  }
  wire.__set_requests(static_cast<int32_t>(aEnd.requests));
  return wire;
}

KeyRange
ClaimRangeFromWire(const ranges_idl::WireClaim& aClaim)
{
  constexpr auto kEnd = static_cast<int32_t>(kShardKeys);
  if (aClaim.first < 0 || aClaim.last < aClaim.first || aClaim.last >= kEnd) {
    throw RangesError("host record with a claim out of bounds");
  }
  return KeyRange{ static_cast<uint32_t>(aClaim.first),
                   static_cast<uint32_t>(aClaim.last) };
}

/** A record that states no era is taken for a current one. */
HostRecord
FromWire(const ranges_idl::WireHost& aHost, StoreEra aCurrent)
{
  HostRecord host;
  host.host = HostName(aHost.host);
  host.epoch = aHost.epoch;
  host.inner = Endpoint{ aHost.address, PortFromWire(aHost.port) };
  host.zone = ZoneName(aHost.zone);
  host.service = ServiceName(aHost.serviceName);
  host.refutedUpTo = aHost.cleared;
  host.cpuMillis = aHost.__isset.cpuMillis ? aHost.cpuMillis : 0;
  for (const auto& end : aHost.serverEnds) {
    host.serverEnds.push_back(FromWire(end));
  }
  for (const auto& item : aHost.answered) {
    host.answered.push_back(AnsweredRequest{
      static_cast<uint64_t>(item.endId),
      RequestFingerprint(static_cast<uint64_t>(item.request)) });
  }
  host.era = aHost.__isset.era ? StoreEra(aHost.era) : aCurrent;
  for (const auto& item : aHost.claims) {
    host.claims.push_back(ClaimedRange{
      ClaimRangeFromWire(item), Fence(item.fence), item.handover });
  }
  if (aHost.__isset.server) {
    const auto& server = aHost.server;
    host.server =
      ServerStatus{ { ServerId(server.id), ToWallTime(server.bornMillis) },
                    SlotsFromWire(server.slots),
                    StateFromWire(server.state),
                    server.__isset.leaving && server.leaving };
  }
  return host;
}

RangeRow
FromWire(const ranges_idl::WireRow& aRow)
{
  RangeRow row;
  row.range = KeyRange{ static_cast<uint32_t>(aRow.first),
                        static_cast<uint32_t>(aRow.last) };
  row.holder.host = HostName(aRow.host);
  row.holder.incarnation =
    ServerIncarnation{ ServerId(aRow.server), ToWallTime(aRow.bornMillis) };
  row.fence = Fence(aRow.fence);
  row.handover = aRow.handover;
  row.unconfirmed = aRow.__isset.unconfirmed && aRow.unconfirmed;
  return row;
}

/** Rejects rows that omit keys or overlap, as no key may have two holders. */
void
CheckRows(const RangeRows& aRows)
{
  uint32_t next = 0;
  for (const auto& row : aRows) {
    if (row.range.first != next || row.range.last < row.range.first ||
        row.range.last >= kShardKeys) {
      throw RangesError("range table with a gap or an overlap");
    }
    next = row.range.last + 1;
  }
  if (next != kShardKeys) {
    throw RangesError("range table that does not cover all keys");
  }
}

std::map<ServiceName, RangeRows>
FromWire(const std::vector<ranges_idl::WireServiceRows>& aServices)
{
  std::map<ServiceName, RangeRows> services;
  for (const auto& service : aServices) {
    RangeRows rows;
    for (const auto& row : service.rows) {
      rows.push_back(FromWire(row));
    }
    services.emplace(ServiceName(service.serviceName), std::move(rows));
  }
  return services;
}

std::vector<Suspicion>
FromWire(const std::vector<ranges_idl::WireSuspicion>& aSuspicions)
{
  std::vector<Suspicion> suspicions;
  suspicions.reserve(aSuspicions.size());
  for (const auto& item : aSuspicions) {
    suspicions.push_back(Suspicion{ HostName(item.host), item.number });
  }
  return suspicions;
}

/** A table without an era, of an earlier release, is taken for a current one.
 */
RangeTable
FromWire(const ranges_idl::WireTable& aTable, StoreEra aCurrent)
{
  RangeTable table;
  table.era = aTable.__isset.era ? StoreEra(aTable.era) : aCurrent;
  table.writtenEra =
    aTable.__isset.writtenEra ? StoreEra(aTable.writtenEra) : table.era;
  table.settled = !aTable.__isset.unsettled || !aTable.unsettled;
  table.revision = aTable.revision;
  table.nextFence = aTable.nextFence;
  table.nextSuspicion = aTable.nextSuspicion;
  table.services = FromWire(aTable.services);
  table.suspicions = FromWire(aTable.suspicions);
  return table;
}

TableChange
FromWire(const ranges_idl::WireTableChange& aChange)
{
  TableChange change;
  change.base = aChange.base;
  change.baseEra = StoreEra(aChange.baseEra);
  change.era = StoreEra(aChange.era);
  change.settled = !aChange.__isset.unsettled || !aChange.unsettled;
  change.revision = aChange.revision;
  change.nextFence = aChange.nextFence;
  change.nextSuspicion = aChange.nextSuspicion;
  change.rows = FromWire(aChange.services);
  change.suspicions = FromWire(aChange.suspicions);
  return change;
}

void
CheckTable(const RangeTable& aTable)
{
  for (const auto& [service, rows] : aTable.services) {
    CheckRows(rows);
  }
}

/** Fills the fields that tables and table changes have in common. */
template<class Wire>
void
FillWire(Wire& aWire,
         const std::map<ServiceName, RangeRows>& aServices,
         const std::vector<Suspicion>& aSuspicions)
{
  for (const auto& [service, rows] : aServices) {
    ranges_idl::WireServiceRows item;
    item.serviceName = service.Value();
    for (const auto& row : rows) {
      ranges_idl::WireRow out;
      out.first = static_cast<int32_t>(row.range.first);
      out.last = static_cast<int32_t>(row.range.last);
      out.host = row.holder.host.Value();
      out.server = row.holder.incarnation.id.Value();
      out.bornMillis = ToMillis(row.holder.incarnation.startedAt);
      out.fence = row.fence.Value();
      out.handover = row.handover;
      if (row.unconfirmed) {
        out.__set_unconfirmed(true);
      }
      item.rows.push_back(std::move(out));
    }
    aWire.services.push_back(std::move(item));
  }
  for (const auto& suspicion : aSuspicions) {
    ranges_idl::WireSuspicion item;
    item.host = suspicion.host.Value();
    item.number = suspicion.number;
    aWire.suspicions.push_back(std::move(item));
  }
}

template<class Struct>
Struct
Decode(const std::string& aBytes)
{
  try {
    return internal::DecodeStruct<Struct>(aBytes, kMaxListItems);
  } catch (const LogError& error) {
    throw RangesError(error.what());
  }
}

}

bool
IsTable(const StoreEntry& aEntry)
{
  return aEntry.key == kTableKey;
}

MeshState::MeshState(StoreEra aEra, bool aReturned, uint64_t aHostsVersion)
  : m_era(aEra)
  , m_hostsVersion(aHostsVersion)
{
  m_table = EmptyTable();
  if (aReturned) {
    BeginEraOfLostTable();
  }
}

RangeTable
MeshState::EmptyTable() const
{
  RangeTable table;
  table.era = m_era;
  table.writtenEra = m_era;
  return table;
}

void
MeshState::BeginEraOfLostTable()
{
  m_table = RangeTable();
  m_table.BeginEra(m_era);
}

void
MeshState::Apply(const StoreEntry& aEntry)
{
  if (IsTable(aEntry)) {
    auto table =
      aEntry.value
        ? FromWire(Decode<ranges_idl::WireTable>(*aEntry.value), m_era)
        : EmptyTable();
    CheckTable(table);
    if (m_hasTable && table.writtenEra < m_table.writtenEra) {
      throw OutdatedTableError("range table of an earlier era of the store");
    }
    if (table.era < m_era) {
      table.BeginEra(m_era);
    }
    m_hasTable = true;
    ReplaceTable(std::move(table));
    return;
  }
  if (aEntry.key == kChangeKey && aEntry.value) {
    ApplyChange(FromWire(Decode<ranges_idl::WireTableChange>(*aEntry.value)));
    return;
  }
  if (!aEntry.key.starts_with(kHostPrefix)) {
    throw RangesError("record with unknown key '" + aEntry.key + "'");
  }
  const HostName name(aEntry.key.substr(kHostPrefix.size()));
  if (!aEntry.value) {
    m_hosts.erase(name);
    ++m_hostsVersion;
    return;
  }
  auto host = FromWire(Decode<ranges_idl::WireHost>(*aEntry.value), m_era);
  if (host.host != name) {
    throw RangesError("host record stored under the key of another host");
  }
  // A record of an earlier era, or a claim, shows that the store has returned.
  const bool returned = host.era < m_era || !host.claims.empty();
  if (returned && !m_hasTable && m_table.settled) {
    BeginEraOfLostTable();
  }
  m_hosts[name] = std::move(host);
  ++m_hostsVersion;
}

void
MeshState::ReplaceTable(RangeTable aTable)
{
  if (aTable.suspicions != m_table.suspicions) {
    ++m_hostsVersion;
  }
  m_table = std::move(aTable);
}

void
MeshState::ApplyChange(const TableChange& aChange)
{
  if (aChange.revision <= m_table.revision) {
    // Applied already: the newest record of the table included this change.
    return;
  }
  auto table = ApplyTableChange(m_table, aChange);
  if (!table) {
    throw MissingBaseError("table change applies to an unknown revision");
  }
  for (const auto& [service, rows] : aChange.rows) {
    CheckRows(table->RowsOf(service));
  }
  m_hasTable = true;
  ReplaceTable(*std::move(table));
}

const HostRecord*
MeshState::FindHost(const HostName& aHost) const
{
  const auto found = m_hosts.find(aHost);
  return found == m_hosts.end() ? nullptr : &found->second;
}

const HostRecord*
MeshState::HolderOf(const RangeRow& aRow) const
{
  if (aRow.IsFree() || aRow.unconfirmed) {
    return nullptr;
  }
  const auto* host = FindHost(aRow.holder.host);
  const bool alive = host != nullptr && host->server &&
                     host->server->incarnation == aRow.holder.incarnation;
  return alive ? host : nullptr;
}

bool
MeshState::MayReassign(const RangeRow& aRow) const
{
  if (aRow.unconfirmed || HolderOf(aRow) != nullptr) {
    return false;
  }
  if (aRow.IsFree()) {
    return true;
  }
  const auto* host = FindHost(aRow.holder.host);
  const bool outdated =
    host != nullptr && host->server &&
    host->server->incarnation.startedAt < aRow.holder.incarnation.startedAt;
  return host != nullptr && !outdated;
}

bool
MeshState::Suspected(const HostName& aHost) const
{
  const auto* suspicion = m_table.FindSuspicion(aHost);
  if (suspicion == nullptr) {
    return false;
  }
  const auto* host = FindHost(aHost);
  return host == nullptr || host->refutedUpTo < suspicion->number;
}

bool
MeshState::CanTakeKeys(const HostRecord& aHost) const
{
  return aHost.server && aHost.server->state == ServerState::kReady &&
         !Suspected(aHost.host);
}

StoreEntry
EncodeHost(const HostRecord& aHost)
{
  ranges_idl::WireHost wire;
  wire.host = aHost.host.Value();
  wire.epoch = aHost.epoch;
  wire.address = aHost.inner.address;
  wire.port = aHost.inner.port;
  wire.zone = aHost.zone.Value();
  wire.serviceName = aHost.service.Value();
  wire.cleared = aHost.refutedUpTo;
  wire.__set_cpuMillis(aHost.cpuMillis);
  if (aHost.server) {
    ranges_idl::WireServer server;
    server.id = aHost.server->incarnation.id.Value();
    server.bornMillis = ToMillis(aHost.server->incarnation.startedAt);
    server.slots = static_cast<int32_t>(aHost.server->slots);
    server.state = static_cast<int32_t>(aHost.server->state);
    if (aHost.server->leaving) {
      server.__set_leaving(true);
    }
    wire.__set_server(server);
  }
  if (!aHost.serverEnds.empty()) {
    std::vector<ranges_idl::WireServerEnd> ends;
    ends.reserve(aHost.serverEnds.size());
    for (const auto& end : aHost.serverEnds) {
      ends.push_back(ToWire(end));
    }
    wire.__set_serverEnds(ends);
  }
  if (!aHost.answered.empty()) {
    std::vector<ranges_idl::WireAnsweredRequest> answered;
    answered.reserve(aHost.answered.size());
    for (const auto& item : aHost.answered) {
      ranges_idl::WireAnsweredRequest out;
      out.endId = static_cast<int64_t>(item.end);
      out.request = static_cast<int64_t>(item.request.Value());
      answered.push_back(out);
    }
    wire.__set_answered(answered);
  }
  if (aHost.era > StoreEra()) {
    wire.__set_era(aHost.era.Value());
  }
  if (!aHost.claims.empty()) {
    std::vector<ranges_idl::WireClaim> claims;
    claims.reserve(aHost.claims.size());
    for (const auto& claim : aHost.claims) {
      ranges_idl::WireClaim out;
      out.first = static_cast<int32_t>(claim.range.first);
      out.last = static_cast<int32_t>(claim.range.last);
      out.fence = claim.fence.Value();
      out.handover = claim.handover;
      claims.push_back(std::move(out));
    }
    wire.__set_claims(claims);
  }
  StoreEntry entry;
  entry.key = std::string(kHostPrefix) + aHost.host.Value();
  entry.value = internal::EncodeStruct(wire);
  return entry;
}

StoreEntry
RemoveHost(const HostName& aHost)
{
  StoreEntry entry;
  entry.key = std::string(kHostPrefix) + aHost.Value();
  return entry;
}

StoreEntry
EncodeTable(const RangeTable& aTable)
{
  ranges_idl::WireTable wire;
  wire.revision = aTable.revision;
  wire.nextFence = aTable.nextFence;
  wire.nextSuspicion = aTable.nextSuspicion;
  wire.__set_era(aTable.era.Value());
  if (aTable.writtenEra != aTable.era) {
    wire.__set_writtenEra(aTable.writtenEra.Value());
  }
  if (!aTable.settled) {
    wire.__set_unsettled(true);
  }
  FillWire(wire, aTable.services, aTable.suspicions);
  StoreEntry entry;
  entry.key = kTableKey;
  entry.value = internal::EncodeStruct(wire);
  return entry;
}

StoreEntry
EncodeChange(const TableChange& aChange)
{
  ranges_idl::WireTableChange wire;
  wire.base = aChange.base;
  wire.revision = aChange.revision;
  wire.nextFence = aChange.nextFence;
  wire.nextSuspicion = aChange.nextSuspicion;
  wire.__set_baseEra(aChange.baseEra.Value());
  wire.__set_era(aChange.era.Value());
  if (!aChange.settled) {
    wire.__set_unsettled(true);
  }
  FillWire(wire, aChange.rows, aChange.suspicions);
  StoreEntry entry;
  entry.key = kChangeKey;
  entry.value = internal::EncodeStruct(wire);
  return entry;
}

}
