#include "test/process/MeshSupport.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>

#include "test/process/PortSupport.h"

namespace pistachioshift::test {

namespace {

constexpr size_t kRanges = 32;
constexpr auto kPoll = std::chrono::milliseconds(20);

constexpr const char* kSettings = R"(log_level = "warning"
[daemon]
host = "host-{index}"
zone = "zone-{zone}"
region = "region-1"
address = "127.0.0.1"
inner_port = {inner}
callers_port = {callers}
operators_port = {operators}
[server]
address = "127.0.0.1"
port = {server}
services = ["orders"]
slots = {slots}
checks_fences = {checks}
[log]
address = "127.0.0.1"
port = {log}
)";

constexpr const char* kDocument = R"([[service]]
name = "orders"
division = "keyed"
fencing = "{fencing}"
ranges = {ranges}
slots = {slots}
max_moves_per_hour = 600
[[service.class]]
name = "order"
methods = ["POST"]
deadline_ms = {deadline}
queue_bound = 64
[[service.class]]
name = "lookup"
methods = ["GET", "HEAD"]
deadline_ms = {deadline}
queue_bound = 128
)";

RecordedFence
ParseFence(const std::string& aText)
{
  RecordedFence fence;
  std::istringstream text(aText);
  char dot = 0;
  text >> fence.entry >> dot >> fence.rank;
  return fence;
}

RecordedRun
ParseRun(const std::string& aLine, size_t aHost)
{
  const auto line = nlohmann::json::parse(aLine);
  return { .host = aHost,
           .key = line["key"],
           .range = line["range"],
           .method = line["method"],
           .path = line["path"],
           .outcome = line["outcome"],
           .fence = ParseFence(line["fence"]),
           .startMs = line["start_ms"],
           .endMs = line["end_ms"] };
}

}

bool
RecordedRun::Ran() const
{
  return outcome == "running" || outcome == "done" || outcome == "cancelled";
}

nlohmann::json
MeshHost::Status() const
{
  const auto text = HttpGet(operators, "/status").body;
  return nlohmann::json::parse(text, nullptr, false);
}

double
MeshHost::Metric(const std::string& aName) const
{
  std::istringstream lines(HttpGet(operators, "/metrics").body);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with(aName + " ")) {
      return std::stod(line.substr(aName.size() + 1));
    }
  }
  return 0;
}

Mesh::Mesh(const MeshOptions& aOptions)
  : m_options(aOptions)
  , m_folder(std::filesystem::temp_directory_path() /
             fmt::format("pistachio-mesh-{}", getpid()))
  , m_hosts(aOptions.hosts)
{
  std::filesystem::create_directories(m_folder);
  m_log = std::make_unique<ChildProcess>("standin_log");
  m_logPort = m_log->WaitForPort();
  PickPorts();
  StartServers();
  for (size_t index = 0; index < Size(); ++index) {
    StartDaemon(index);
  }
  if (!WaitUntil([this] {
        const auto status = Host(0).Status();
        return status.is_object() && status["members"].size() == Size();
      })) {
    throw std::runtime_error("not all daemons joined");
  }
  LoadDocument();
  for (size_t index = 0; index < Size(); ++index) {
    if (!WaitUntil([this, index] { return AllHeld(index); })) {
      throw std::runtime_error("not all ranges are held");
    }
  }
}

Mesh::~Mesh()
{
  m_hosts.clear();
  std::filesystem::remove_all(m_folder);
}

void
Mesh::PickPorts()
{
  PortPicker picker;
  for (auto& host : m_hosts) {
    host.inner = picker.Pick();
    host.callers = picker.Pick();
    host.operators = picker.Pick();
  }
}

void
Mesh::StartServers()
{
  const bool checked = m_options.fencing == Fencing::kChecked;
  for (auto& host : m_hosts) {
    host.serverProcess = std::make_unique<ChildProcess>(
      "standin_server",
      std::vector<std::string>{
        fmt::format("--slots={}", m_options.slots),
        fmt::format("--fencing={}", checked ? "checked" : "unchecked") });
    host.server = host.serverProcess->WaitForPort();
  }
}

void
Mesh::StartDaemon(size_t aIndex)
{
  auto& host = m_hosts[aIndex];
  const auto name = fmt::format("daemon-{}.toml", aIndex + 1);
  Write(name,
        fmt::format(fmt::runtime(kSettings),
                    fmt::arg("index", aIndex + 1),
                    fmt::arg("zone", aIndex % m_options.zones + 1),
                    fmt::arg("inner", host.inner),
                    fmt::arg("callers", host.callers),
                    fmt::arg("operators", host.operators),
                    fmt::arg("server", host.server),
                    fmt::arg("slots", m_options.slots),
                    fmt::arg("checks", m_options.fencing == Fencing::kChecked),
                    fmt::arg("log", m_logPort)));
  host.settingsFile = Path(name);
  host.daemonProcess = std::make_unique<ChildProcess>(
    "pistachiod", std::vector<std::string>{ "--settings=" + Path(name) });
}

std::vector<uint16_t>
Mesh::CallerPorts() const
{
  std::vector<uint16_t> ports;
  ports.reserve(m_hosts.size());
  for (const auto& host : m_hosts) {
    ports.push_back(host.callers);
  }
  return ports;
}

std::string
Mesh::Path(const std::string& aName) const
{
  return (m_folder / aName).string();
}

std::string
Mesh::LogFlag() const
{
  return fmt::format("--log=127.0.0.1:{}", m_logPort);
}

void
Mesh::Write(const std::string& aName, const std::string& aText) const
{
  std::ofstream(Path(aName)) << aText;
}

int
Mesh::Ctl(const std::vector<std::string>& aWords, std::string* aFirstLine) const
{
  ChildProcess ctl("pistachioctl", aWords);
  const auto line = ctl.WaitForLine("");
  if (aFirstLine != nullptr) {
    *aFirstLine = line.value_or("");
  }
  return ctl.Wait();
}

std::vector<std::string>
Mesh::EditWords(const std::string& aSection,
                const std::string& aFile,
                const std::string& aBase) const
{
  return { "document",
           "edit",
           "--team=ops",
           LogFlag(),
           "--section=" + aSection,
           "--file=" + Path(aFile),
           "--base=" + aBase,
           "--key=" + Path("ops.key") };
}

std::string
Mesh::Document() const
{
  const bool checked = m_options.fencing == Fencing::kChecked;
  return fmt::format(fmt::runtime(kDocument),
                     fmt::arg("fencing", checked ? "checked" : "unchecked"),
                     fmt::arg("ranges", kRanges),
                     fmt::arg("slots", m_options.slots),
                     fmt::arg("deadline", m_options.deadline.count()));
}

void
Mesh::LoadDocument() const
{
  ChildProcess keygen("pistachioctl",
                      { "document",
                        "keygen",
                        "--team=ops",
                        "--sections=teams,demo",
                        "--out=" + Path("ops.key") });
  std::string teams;
  while (const auto line = keygen.WaitForLine("")) {
    teams += *line + "\n";
  }
  Write("teams.toml", teams);
  Write("demo.toml", Document());
  if (keygen.Wait() != 0 || Ctl(EditWords("teams", "teams.toml", "0")) != 0 ||
      Ctl(EditWords("demo", "demo.toml", "0")) != 0) {
    throw std::runtime_error("the document was not accepted");
  }
}

void
Mesh::SetLogFault(const std::string& aQuery) const
{
  if (HttpPost(m_logPort, "/faults?" + aQuery).status != 200) {
    throw std::runtime_error("the log stand-in refused the fault");
  }
}

size_t
Mesh::OwnerOf(const std::string& aKey, size_t aAsked)
{
  const auto path = "/explain?service=orders&key=" + aKey;
  const auto text = HttpGet(Host(aAsked).operators, path).body;
  const auto route = nlohmann::json::parse(text)["route"];
  const auto members = Host(aAsked).Status()["members"];
  for (const auto& member : members) {
    for (size_t index = 0; index < Size(); ++index) {
      if (member["daemon"] == route.at(0) &&
          member["inner_port"] == Host(index).inner) {
        return index;
      }
    }
  }
  throw std::runtime_error("no host holds key " + aKey);
}

std::string
Mesh::KeyOf(size_t aIndex, size_t aAsked)
{
  constexpr int kTries = 200;
  for (int number = 0; number < kTries; ++number) {
    auto key = fmt::format("key-{}", number);
    if (OwnerOf(key, aAsked) == aIndex) {
      return key;
    }
  }
  throw std::runtime_error(fmt::format("host {} holds no key", aIndex));
}

bool
Mesh::AllHeld(size_t aAsked, int64_t aGone) const
{
  const auto status = m_hosts[aAsked].Status();
  if (!status.is_object() || status["entries"].empty()) {
    return false;
  }
  const auto& entries = status["entries"];
  return std::all_of(entries.begin(), entries.end(), [&](const auto& aEntry) {
    return aEntry.contains("holder") && aEntry["holder"] != aGone;
  });
}

std::vector<RecordedRun>
Mesh::Record() const
{
  std::vector<RecordedRun> runs;
  for (size_t index = 0; index < m_hosts.size(); ++index) {
    std::istringstream lines(HttpGet(m_hosts[index].server, "/record").body);
    std::string line;
    while (std::getline(lines, line)) {
      runs.push_back(ParseRun(line, index));
    }
  }
  std::stable_sort(
    runs.begin(), runs.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.startMs < aRight.startMs;
    });
  return runs;
}

bool
WaitUntil(const std::function<bool()>& aCondition, std::chrono::seconds aLimit)
{
  const auto until = std::chrono::steady_clock::now() + aLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

std::vector<std::string>
FindStaleRuns(const std::vector<RecordedRun>& aRuns,
              int64_t RecordedRun::*aTime)
{
  // By range: first start under each token.
  std::map<std::string, std::map<RecordedFence, int64_t>> firstStarts;
  for (const auto& run : aRuns) {
    if (run.Ran()) {
      firstStarts[run.range].try_emplace(run.fence, run.startMs);
    }
  }
  std::vector<std::string> problems;
  for (const auto& run : aRuns) {
    const auto& starts = firstStarts[run.range];
    for (auto newer = starts.upper_bound(run.fence); newer != starts.end();
         ++newer) {
      if (run.Ran() && newer->second < run.*aTime) {
        problems.push_back(fmt::format(
          "{} {} under {}.{} ran at {} ms, after {}.{} had started at {} ms",
          run.range,
          run.path,
          run.fence.entry,
          run.fence.rank,
          run.*aTime,
          newer->first.entry,
          newer->first.rank,
          newer->second));
      }
    }
  }
  return problems;
}

}
