#include "src/Daemon/LoadMeter.h"

namespace pistachioshift {

namespace {

constexpr size_t kSketchKeys = 256;
constexpr size_t kReportedKeys = 16;
/** Factor applied to the weights in the sketch after each report. */
constexpr double kSketchDecay = 0.5;

}

LoadMeter::ServiceMeter::ServiceMeter()
  : keys(kSketchKeys)
{
}

void
LoadMeter::Add(const EntryKey& aEntry, const std::string& aKey, double aWeight)
{
  auto& meter = m_services[aEntry.service];
  meter.entries[aEntry] += aWeight;
  if (aEntry.pinnedKey.empty() && aWeight > 0.0) {
    meter.keys.Add(aKey, aWeight);
    meter.ranges[aKey] = aEntry.range;
    if (meter.ranges.size() > 4 * kSketchKeys) {
      TrimRanges(meter);
    }
  }
}

void
LoadMeter::TrimRanges(ServiceMeter& aMeter)
{
  std::map<std::string, RangeIndex> kept;
  for (const auto& item : aMeter.keys.Top(kSketchKeys)) {
    const auto range = aMeter.ranges.find(item.key);
    if (range != aMeter.ranges.end()) {
      kept.insert(*range);
    }
  }
  aMeter.ranges = std::move(kept);
}

std::vector<LoadReport>
LoadMeter::EndInterval(DaemonId aSelf, Duration aElapsed)
{
  const auto seconds = std::chrono::duration<double>(aElapsed).count();
  std::vector<LoadReport> reports;
  for (auto& [service, meter] : m_services) {
    LoadReport report;
    report.daemon = aSelf;
    report.service = service;
    for (const auto& [entry, load] : meter.entries) {
      report.entries.push_back(
        ReportedEntry{ entry.range, entry.pinnedKey, load / seconds });
    }
    for (const auto& item : meter.keys.Top(kReportedKeys)) {
      const auto range = meter.ranges.find(item.key);
      // At constant load, the decayed sum over all intervals is twice the load
      // of one interval.
      const auto load = item.LowerBound() * (1.0 - kSketchDecay) / seconds;
      if (range != meter.ranges.end() && load > 0.0) {
        report.hotKeys.push_back(ReportedKey{ item.key, range->second, load });
      }
    }
    meter.entries.clear();
    meter.keys.Decay(kSketchDecay);
    reports.push_back(std::move(report));
  }
  return reports;
}

}
