#include "src/Daemon/Status.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "src/Base/Hash.h"

namespace pistachioshift {

namespace {

using nlohmann::json;

json
DaemonsJson(const std::vector<DaemonId>& aDaemons)
{
  auto list = json::array();
  for (const auto daemon : aDaemons) {
    list.push_back(daemon.Value());
  }
  return list;
}

json
EntryJson(const EntryKey& aKey, const EntryChain& aChain)
{
  const auto& entry = aChain.Current();
  json item = { { "service", aKey.service.Value() },
                { "range", aKey.range.Value() },
                { "pinned", aKey.pinnedKey },
                { "entry", entry.offset.Value() },
                { "owner", entry.holders.front().Value() } };
  item["heirs"] = DaemonsJson(
    std::vector(std::next(entry.holders.begin()), entry.holders.end()));
  if (entry.held) {
    item["rank"] = entry.held->Value();
    item["holder"] = entry.holders[entry.held->Value()].Value();
  }
  return item;
}

json
MemberJson(const Member& aMember)
{
  const auto& join = aMember.join;
  json item = { { "daemon", aMember.id.Value() },
                { "host", join.host.Value() },
                { "zone", join.zone.Value() },
                { "region", join.region.Value() },
                { "address", join.inner.address },
                { "inner_port", join.inner.port },
                { "callers_port", join.callers.port },
                { "leaving", aMember.leaving.has_value() } };
  for (const auto& service : join.services) {
    item["services"].push_back(service.Value());
  }
  return item;
}

json
LogJson(const LogTask& aLog)
{
  const auto& counters = aLog.Counters();
  return { { "applied", aLog.Applied().Value() },
           { "connected", aLog.Connected() },
           { "records", counters.records },
           { "duplicates", counters.duplicates },
           { "appends", counters.appends },
           { "ambiguous", counters.appendsAmbiguous },
           { "from_peers", counters.peerRecords },
           { "checkpoints_written", counters.checkpointsWritten },
           { "checkpoints_loaded", counters.checkpointsLoaded } };
}

json
DocumentJson(const DocumentState& aState)
{
  json document = { { "version", aState.Version().Value() } };
  document["sections"] = json::object();
  for (const auto& section : aState.Sections()) {
    document["sections"][section.name.Value()] =
      section.current.version.Value();
  }
  return document;
}

json
WitnessesJson(const OwnershipView& aView)
{
  auto list = json::array();
  for (const auto& [leaseholder, sets] : aView.Witnesses()) {
    json item = { { "ward", leaseholder.Value() },
                  { "set", sets.current.offset.Value() },
                  { "guardians", DaemonsJson(sets.current.witnesses) } };
    if (sets.pending) {
      item["pending"] = DaemonsJson(sets.pending->witnesses);
    }
    list.push_back(std::move(item));
  }
  return list;
}

json
HeldJson(const MeshTask& aMesh)
{
  auto list = json::array();
  const auto* node = aMesh.FindNode();
  if (node == nullptr) {
    return list;
  }
  for (const auto& held : node->Held()) {
    const auto& key = held.key;
    list.push_back({ { "service", key.service.Value() },
                     { "range", key.range.Value() },
                     { "pinned", key.pinnedKey },
                     { "entry", held.entry.Value() },
                     { "rank", held.rank.Value() },
                     { "serving", aMesh.MayServe(key).has_value() } });
  }
  return list;
}

}

std::string
RenderStatus(const StatusSources& aSources)
{
  const auto& view = aSources.mesh.View();
  const auto& place = aSources.settings.place;
  json status = { { "daemon", aSources.mesh.Self().Value() },
                  { "boot", fmt::format("{:016x}", aSources.boot.Value()) },
                  { "host", place.host.Value() },
                  { "zone", place.zone.Value() },
                  { "region", place.region.Value() },
                  { "address", place.inner.address },
                  { "planner", view.Term().planner.Value() },
                  { "in_flight", aSources.backend.InFlight() },
                  { "server_ready", aSources.backend.ServerReady() } };
  status["log"] = { { "document", LogJson(aSources.document.Log()) },
                    { "ownership", LogJson(aSources.mesh.Log()) } };
  status["document"] = DocumentJson(aSources.document.State());
  status["held"] = HeldJson(aSources.mesh);
  status["members"] = json::array();
  for (const auto& [daemon, member] : view.Members()) {
    status["members"].push_back(MemberJson(member));
  }
  status["guardians"] = WitnessesJson(view);
  status["entries"] = json::array();
  for (const auto& [key, chain] : view.Entries()) {
    status["entries"].push_back(EntryJson(key, chain));
  }
  return status.dump();
}

std::string
RenderExplanation(const StatusSources& aSources,
                  const ServiceName& aService,
                  const std::string& aKey)
{
  const auto& policies = aSources.backend.Policies();
  const auto policy = policies.find(aService);
  json answer = { { "service", aService.Value() }, { "key", aKey } };
  if (policy == policies.end()) {
    answer["error"] = "the service is not configured in the document";
    return answer.dump();
  }
  if (policy->second.division == Division::kAnyInstance) {
    answer["division"] = "any-instance";
    for (const auto& instance : aSources.mesh.Instances(aService)) {
      answer["instances"].push_back(instance.daemon.Value());
    }
    return answer.dump();
  }
  const auto& view = aSources.mesh.View();
  const auto range = RangeOfKey(aKey, policy->second.ranges);
  const auto entry = view.Resolve(aService, range, aKey);
  answer["division"] = "keyed";
  answer["range"] = range.Value();
  answer["pinned"] = !entry.pinnedKey.empty();
  answer["route"] = DaemonsJson(view.Route(entry));
  const auto* chain = view.FindChain(entry);
  if (chain == nullptr) {
    answer["error"] = "no entry has been assigned yet";
    return answer.dump();
  }
  answer["chain"] = json::array();
  for (const auto& chainEntry : chain->entries) {
    answer["chain"].push_back(EntryJson(entry, EntryChain{ { chainEntry } }));
  }
  const auto token = aSources.mesh.MayServe(entry);
  answer["served_here"] = token.has_value();
  return answer.dump();
}

}
