#include "src/Daemon/Settings.h"

#include <arpa/inet.h>

#include <array>
#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <toml++/toml.h>

#include "src/Document/TableReader.h"

namespace pistachioshift {

namespace {

using internal::Bounds;
using internal::TableReader;

constexpr Bounds<uint32_t> kPortBounds{ 1, 65535 };
constexpr Bounds<uint32_t> kSlotBounds{ 1, 4096 };
constexpr Bounds<uint32_t> kHealthBoundsMs{ 50, 60000 };
constexpr Bounds<uint32_t> kCheckpointBoundsS{ 1, 86400 };
constexpr Bounds<uint32_t> kConnectionBounds{ 1, 100000 };
constexpr size_t kMaxServices = 64;

void
CheckAddress(TableReader& aTable,
             std::string_view aField,
             const std::string& aAddress)
{
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  if (inet_pton(AF_INET, aAddress.c_str(), bytes.data()) != 1 &&
      inet_pton(AF_INET6, aAddress.c_str(), bytes.data()) != 1) {
    aTable.Fail(aField, "must be an IP address");
  }
}

std::string
ReadAddress(TableReader& aTable)
{
  auto address = aTable.Require("address", aTable.Text("address"));
  CheckAddress(aTable, "address", address);
  return address;
}

uint16_t
ReadPort(TableReader& aTable, std::string_view aField)
{
  const auto port = aTable.Require(aField, aTable.Integer(aField, kPortBounds));
  return static_cast<uint16_t>(port);
}

PlaceSettings
ReadPlace(TableReader aTable)
{
  PlaceSettings place;
  place.host = HostName(aTable.Name("host"));
  place.zone = ZoneName(aTable.Name("zone"));
  place.region = RegionName(aTable.Name("region"));
  const auto address = ReadAddress(aTable);
  place.inner = Endpoint{ address, ReadPort(aTable, "inner_port") };
  place.callers = Endpoint{ address, ReadPort(aTable, "callers_port") };
  place.operators = Endpoint{ address, ReadPort(aTable, "operators_port") };
  aTable.Finish();
  return place;
}

ServerSettings
ReadServer(TableReader aTable)
{
  ServerSettings server;
  const auto address = ReadAddress(aTable);
  server.endpoint = Endpoint{ address, ReadPort(aTable, "port") };
  for (auto& name : aTable.Texts("services", kMaxServices)) {
    server.services.emplace_back(std::move(name));
  }
  if (server.services.empty()) {
    aTable.Fail("services", "must name at least one service");
  }
  server.slots = aTable.Require("slots", aTable.Integer("slots", kSlotBounds));
  server.checksFences = aTable.Flag("checks_fences").value_or(true);
  const auto interval = aTable.Integer("health_interval_ms", kHealthBoundsMs);
  if (interval) {
    server.healthInterval = std::chrono::milliseconds(*interval);
  }
  aTable.Finish();
  return server;
}

LogSettings
ReadLog(TableReader aTable)
{
  LogSettings log;
  const auto address = ReadAddress(aTable);
  log.endpoint = Endpoint{ address, ReadPort(aTable, "port") };
  log.ownershipStream =
    aTable.Text("ownership_stream").value_or(log.ownershipStream);
  log.documentStream =
    aTable.Text("document_stream").value_or(log.documentStream);
  const auto interval =
    aTable.Integer("checkpoint_interval_s", kCheckpointBoundsS);
  if (interval) {
    log.checkpointInterval = std::chrono::seconds(*interval);
  }
  aTable.Finish();
  return log;
}

LimitSettings
ReadLimits(TableReader aTable)
{
  LimitSettings limits;
  const auto callers = aTable.Integer("caller_connections", kConnectionBounds);
  limits.callerConnections = callers.value_or(limits.callerConnections);
  const auto server = aTable.Integer("server_connections", kConnectionBounds);
  limits.serverConnections = server.value_or(limits.serverConnections);
  aTable.Finish();
  return limits;
}

LogLevel
ReadLogLevel(TableReader& aRoot)
{
  const auto text = aRoot.Text("log_level").value_or("info");
  try {
    return ParseLogLevel(text);
  } catch (const ConfigError& error) {
    aRoot.Fail("log_level", error.what());
  }
}

Settings
ReadRoot(const toml::table& aTable)
{
  TableReader root(aTable, "");
  Settings settings;
  settings.logLevel = ReadLogLevel(root);
  settings.place = ReadPlace(root.Require("daemon", root.Table("daemon")));
  settings.server = ReadServer(root.Require("server", root.Table("server")));
  settings.log = ReadLog(root.Require("log", root.Table("log")));
  if (auto limits = root.Table("limits")) {
    settings.limits = ReadLimits(*limits);
  }
  root.Finish();
  return settings;
}

}

Settings
ParseSettings(std::string_view aText, const std::string& aName)
{
  try {
    const auto table = toml::parse(aText);
    return ReadRoot(table);
  } catch (const toml::parse_error& error) {
    const auto& begin = error.source().begin;
    throw ConfigError(fmt::format(
      "{}:{}:{}: {}", aName, begin.line, begin.column, error.description()));
  } catch (const ParseError& error) {
    throw ConfigError(fmt::format("{}:{}:{}: {}: {}",
                                  aName,
                                  error.Position().line,
                                  error.Position().column,
                                  error.Field(),
                                  error.Problem()));
  }
}

Settings
ReadSettings(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw ConfigError(fmt::format("{}: cannot read the settings file", aPath));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str(), aPath);
}

}
