#include "src/Inner/WireRanges.h"

#include <cmath>

#include "src/Inner/InnerError.h"

namespace pistachioshift::internal::hosts {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

KeyRange
RangeFromWire(int32_t aFirst, int32_t aLast)
{
  const auto bound = static_cast<int32_t>(kShardKeys);
  if (aFirst < 0 || aLast < aFirst || aLast >= bound) {
    throw InnerError("key range out of bounds");
  }
  return KeyRange{ static_cast<uint32_t>(aFirst),
                   static_cast<uint32_t>(aLast) };
}

int64_t
ToMillis(WallTime aTime)
{
  return aTime.time_since_epoch().count();
}

RangeHolder
HolderFromWire(const std::string& aHost,
               const std::string& aServer,
               int64_t aBornMillis)
{
  const WallTime born{ std::chrono::milliseconds(aBornMillis) };
  return RangeHolder{ HostName(aHost),
                      ServerIncarnation{ ServerId(aServer), born } };
}

double
NonNegativeFromWire(double aNumber, const char* aField)
{
  if (!std::isfinite(aNumber) || aNumber < 0.0) {
    throw InnerError(std::string(aField) + " out of bounds");
  }
  return aNumber;
}

}

wire::WireHostReport
ToWire(const HostReport& aReport)
{
  wire::WireHostReport report;
  report.host = aReport.host.Value();
  report.capacity = aReport.capacity;
  for (const auto& bucket : aReport.buckets) {
    wire::WireBucket item;
    item.first = static_cast<int32_t>(bucket.range.first);
    item.last = static_cast<int32_t>(bucket.range.last);
    item.load = bucket.load;
    report.buckets.push_back(item);
  }
  report.__set_configurationEra(aReport.configuration.era.Value());
  report.__set_configuration(aReport.configuration.offset);
  report.__set_configurationVersion(
    static_cast<int64_t>(aReport.configurationVersion));
  return report;
}

HostReport
FromWire(const wire::WireHostReport& aReport)
{
  HostReport report;
  report.host = HostName(aReport.host);
  report.capacity = NonNegativeFromWire(aReport.capacity, "capacity");
  for (const auto& item : aReport.buckets) {
    report.buckets.push_back(
      LoadBucket{ RangeFromWire(item.first, item.last),
                  NonNegativeFromWire(item.load, "load") });
  }
  report.configuration =
    StorePosition{ StoreEra(aReport.configurationEra), aReport.configuration };
  report.configurationVersion =
    static_cast<uint64_t>(aReport.configurationVersion);
  return report;
}

wire::WireHostOrders
ToWire(const HostOrders& aOrders)
{
  wire::WireHostOrders orders;
  orders.host = aOrders.host.Value();
  orders.nextOffset = aOrders.end.offset;
  orders.__set_era(aOrders.end.era.Value());
  orders.ageMicros =
    std::chrono::duration_cast<std::chrono::microseconds>(aOrders.age).count();
  orders.configuration = aOrders.configuration.offset;
  orders.__set_configurationEra(aOrders.configuration.era.Value());
  orders.__set_configurationVersion(
    static_cast<int64_t>(aOrders.configurationVersion));
  if (aOrders.configurationAge) {
    orders.__set_configurationAgeMicros(
      duration_cast<microseconds>(*aOrders.configurationAge).count());
  }
  for (const auto& move : aOrders.moves) {
    wire::WireMove item;
    item.first = static_cast<int32_t>(move.range.first);
    item.last = static_cast<int32_t>(move.range.last);
    item.to = move.to.Value();
    orders.moves.push_back(std::move(item));
  }
  return orders;
}

HostOrders
FromWire(const wire::WireHostOrders& aOrders)
{
  HostOrders orders;
  orders.host = HostName(aOrders.host);
  if (aOrders.ageMicros < 0) {
    throw InnerError("negative state age");
  }
  orders.age = std::chrono::microseconds(aOrders.ageMicros);
  orders.end = StorePosition{ StoreEra(aOrders.era), aOrders.nextOffset };
  orders.configuration =
    StorePosition{ StoreEra(aOrders.configurationEra), aOrders.configuration };
  orders.configurationVersion =
    static_cast<uint64_t>(aOrders.configurationVersion);
  if (aOrders.__isset.configurationAgeMicros) {
    if (aOrders.configurationAgeMicros < 0) {
      throw InnerError("negative age of the configuration");
    }
    orders.configurationAge = microseconds(aOrders.configurationAgeMicros);
  }
  for (const auto& item : aOrders.moves) {
    orders.moves.push_back(
      MoveOrder{ RangeFromWire(item.first, item.last), HostName(item.to) });
  }
  return orders;
}

wire::WireStateQuery
ToWire(const StateQuery& aQuery)
{
  wire::WireStateQuery query;
  query.from_ = aQuery.from.offset;
  query.__set_era(aQuery.from.era.Value());
  return query;
}

wire::WireStateReply
ToWire(const StateReply& aReply)
{
  wire::WireStateReply reply;
  reply.ageMicros = duration_cast<microseconds>(aReply.age).count();
  reply.nextOffset = aReply.next.offset;
  reply.__set_era(aReply.next.era.Value());
  for (const auto& entry : aReply.entries) {
    wire::WireStateEntry item;
    item.key = entry.key;
    if (entry.value) {
      item.__set_value(*entry.value);
    }
    item.offset = entry.offset;
    reply.entries.push_back(std::move(item));
  }
  for (const auto& host : aReply.relayTo) {
    reply.relayTo.push_back(host.Value());
  }
  reply.__isset.relayTo = !reply.relayTo.empty();
  if (aReply.snapshot) {
    reply.__set_snapshot(true);
  }
  return reply;
}

StateReply
FromWire(const wire::WireStateReply& aReply)
{
  if (aReply.ageMicros < 0) {
    throw InnerError("negative state age");
  }
  StateReply reply;
  reply.age = microseconds(aReply.ageMicros);
  reply.next = StorePosition{ StoreEra(aReply.era), aReply.nextOffset };
  for (const auto& item : aReply.entries) {
    StoreEntry entry;
    entry.key = item.key;
    if (item.__isset.value) {
      entry.value = item.value;
    }
    entry.offset = item.offset;
    reply.entries.push_back(std::move(entry));
  }
  for (const auto& host : aReply.relayTo) {
    reply.relayTo.emplace_back(host);
  }
  reply.snapshot = aReply.__isset.snapshot && aReply.snapshot;
  return reply;
}

wire::WireRangeRelease
ToWire(const RangeRelease& aRelease)
{
  wire::WireRangeRelease release;
  release.host = aRelease.holder.host.Value();
  release.server = aRelease.holder.incarnation.id.Value();
  release.bornMillis = ToMillis(aRelease.holder.incarnation.startedAt);
  release.serviceName = aRelease.service.Value();
  release.epoch = aRelease.epoch.value_or(0);
  for (const auto& range : aRelease.ranges) {
    wire::WireRelinquished item;
    item.first = static_cast<int32_t>(range.range.first);
    item.last = static_cast<int32_t>(range.range.last);
    item.fence = range.fence.Value();
    item.handover = range.handover;
    if (range.next) {
      const auto& incarnation = range.next->incarnation;
      item.__set_nextHost(range.next->host.Value());
      item.__set_nextServer(incarnation.id.Value());
      item.__set_nextBornMillis(ToMillis(incarnation.startedAt));
    }
    release.ranges.push_back(std::move(item));
  }
  return release;
}

RangeRelease
FromWire(const wire::WireRangeRelease& aRelease)
{
  RangeRelease release;
  release.service = ServiceName(aRelease.serviceName);
  release.epoch = aRelease.epoch;
  release.holder =
    HolderFromWire(aRelease.host, aRelease.server, aRelease.bornMillis);
  for (const auto& item : aRelease.ranges) {
    Relinquished range;
    range.range = RangeFromWire(item.first, item.last);
    range.fence = Fence(item.fence);
    range.handover = item.handover;
    if (item.__isset.nextHost) {
      range.next =
        HolderFromWire(item.nextHost, item.nextServer, item.nextBornMillis);
    }
    release.ranges.push_back(std::move(range));
  }
  return release;
}

}
