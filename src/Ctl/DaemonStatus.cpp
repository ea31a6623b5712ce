#include "src/Ctl/DaemonStatus.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "src/Ctl/CtlError.h"

namespace pistachioshift {

namespace {

using nlohmann::json;

DaemonId
DaemonAt(const json& aObject, const char* aField)
{
  return DaemonId(aObject.value(aField, int64_t{ 0 }));
}

std::string
TextAt(const json& aObject, const char* aField)
{
  return aObject.value(aField, std::string());
}

std::vector<DaemonId>
DaemonsAt(const json& aObject, const char* aField)
{
  std::vector<DaemonId> daemons;
  for (const auto& item : aObject.value(aField, json::array())) {
    daemons.emplace_back(item.get<int64_t>());
  }
  return daemons;
}

MemberStatus
ReadMember(const json& aObject)
{
  MemberStatus member;
  member.daemon = DaemonAt(aObject, "daemon");
  member.host = HostName(TextAt(aObject, "host"));
  member.zone = ZoneName(TextAt(aObject, "zone"));
  member.address = TextAt(aObject, "address");
  member.operatorsPort = aObject.value("operators_port", uint16_t{ 0 });
  member.leaving = aObject.value("leaving", false);
  return member;
}

EntryStatus
ReadEntry(const json& aObject)
{
  EntryStatus entry;
  entry.service = ServiceName(TextAt(aObject, "service"));
  entry.range = RangeIndex(aObject.value("range", 0U));
  entry.pinnedKey = TextAt(aObject, "pinned");
  entry.entry = Offset(aObject.value("entry", int64_t{ 0 }));
  entry.owner = DaemonAt(aObject, "owner");
  entry.heirs = DaemonsAt(aObject, "heirs");
  if (aObject.contains("holder")) {
    entry.holder = DaemonAt(aObject, "holder");
  }
  return entry;
}

void
ReadDocument(const json& aObject, DaemonStatus& aStatus)
{
  aStatus.documentVersion = Offset(aObject.value("version", int64_t{ 0 }));
  const auto sections = aObject.value("sections", json::object());
  for (const auto& [name, version] : sections.items()) {
    aStatus.sections[SectionName(name)] = Offset(version.get<int64_t>());
  }
}

bool
ReadLogConnected(const json& aRoot)
{
  const auto log = aRoot.value("log", json::object());
  const auto document = log.value("document", json::object());
  return document.value("connected", false);
}

DaemonStatus
ReadStatus(const json& aRoot)
{
  DaemonStatus status;
  status.daemon = DaemonAt(aRoot, "daemon");
  status.boot = TextAt(aRoot, "boot");
  status.host = HostName(TextAt(aRoot, "host"));
  status.zone = ZoneName(TextAt(aRoot, "zone"));
  status.planner = DaemonAt(aRoot, "planner");
  status.logConnected = ReadLogConnected(aRoot);
  ReadDocument(aRoot.value("document", json::object()), status);
  for (const auto& member : aRoot.value("members", json::array())) {
    status.members.push_back(ReadMember(member));
  }
  for (const auto& entry : aRoot.value("entries", json::array())) {
    status.entries.push_back(ReadEntry(entry));
  }
  return status;
}

KeyExplanation
ReadExplanation(const json& aRoot)
{
  KeyExplanation explanation;
  explanation.error = TextAt(aRoot, "error");
  explanation.keyed = TextAt(aRoot, "division") == "keyed";
  explanation.range = RangeIndex(aRoot.value("range", 0U));
  explanation.pinned = aRoot.value("pinned", false);
  explanation.route = DaemonsAt(aRoot, "route");
  explanation.instances = DaemonsAt(aRoot, "instances");
  for (const auto& entry : aRoot.value("chain", json::array())) {
    explanation.chain.push_back(ReadEntry(entry));
  }
  return explanation;
}

// The library's errors all mean that the answer isn't what a daemon sends.
template<class Reader>
auto
ParseJson(const std::string& aJson, const Reader& aReader)
{
  try {
    return aReader(json::parse(aJson));
  } catch (const json::exception& error) {
    throw UnreachableError(
      fmt::format("the answer isn't a daemon's: {}", error.what()));
  }
}

}

DaemonStatus
ParseDaemonStatus(const std::string& aJson)
{
  return ParseJson(aJson, &ReadStatus);
}

KeyExplanation
ParseExplanation(const std::string& aJson)
{
  return ParseJson(aJson, &ReadExplanation);
}

}
