#ifndef PISTACHIOSHIFT_TEST_RANGES_RANGESSUPPORT_H
#define PISTACHIOSHIFT_TEST_RANGES_RANGESSUPPORT_H

#include <string>

#include "Pistachioshift/Ranges"

namespace pistachioshift::test {

inline const ServiceName kOrders("orders");

inline ServerIncarnation
IncarnationOf(const std::string& aServer, int64_t aStartedAt = 1000)
{
  return { ServerId(aServer), WallTime(std::chrono::milliseconds(aStartedAt)) };
}

inline RangeHolder
HolderOf(const std::string& aHost)
{
  return { HostName(aHost), IncarnationOf("server-" + aHost) };
}

inline HostRecord
RecordOf(const std::string& aHost)
{
  HostRecord record;
  record.host = HostName(aHost);
  record.epoch = 1;
  record.inner = Endpoint{ "127.0.0.1", 7000 };
  record.service = kOrders;
  record.server =
    ServerStatus{ IncarnationOf("server-" + aHost), 9, ServerState::kReady };
  return record;
}

/** State with the given host records and table. */
inline MeshState
StateOf(const std::vector<HostRecord>& aHosts, const RangeTable& aTable = {})
{
  MeshState state;
  for (const auto& host : aHosts) {
    state.Apply(EncodeHost(host));
  }
  state.Apply(EncodeTable(aTable));
  return state;
}

}

#endif
