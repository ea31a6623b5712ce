#include <algorithm>
#include <set>

#include "src/HostDaemon/CoordinatorTask.h"

namespace pistachioshift {

namespace {

/** If a smaller share of the hosts reports, the coordinator assumes that it is
 * itself partitioned from the others, and suspects no host. */
constexpr double kMinReportingShare = 0.3;

}

/**
 * Hosts that hold rows without a record. An append of an earlier era that was
 * done late may have removed the record of a running host, which writes it
 * again.
 */
std::set<HostName>
CoordinatorTask::HoldersWithoutRecord() const
{
  std::set<HostName> names;
  const auto& state = m_state.State();
  for (const auto& [service, rows] : state.Table().services) {
    for (const auto& row : rows) {
      if (!row.IsFree() && !row.unconfirmed &&
          state.FindHost(row.holder.host) == nullptr) {
        names.insert(row.holder.host);
      }
    }
  }
  return names;
}

void
CoordinatorTask::SuspectSilentHosts()
{
  const auto now = m_clock.Now();
  const auto& hosts = m_state.State().Hosts();
  std::vector<HostName> silent;
  size_t reporting = 0;
  for (const auto& [name, host] : hosts) {
    reporting += HasRecentReport(name) ? 1 : 0;
    const auto since = std::max(m_watchingSince, m_hostFirstSeenAt[name]);
    const bool overdue =
      !HasRecentReport(name) && now - since >= kReportTimeout;
    if (overdue && !m_state.State().Suspected(name)) {
      silent.push_back(name);
    }
  }
  for (const auto& name : HoldersWithoutRecord()) {
    if (!m_state.State().Suspected(name)) {
      silent.push_back(name);
    }
  }
  if (silent.empty() ||
      static_cast<double>(reporting) <
        kMinReportingShare * static_cast<double>(hosts.size())) {
    return;
  }
  for (const auto& name : silent) {
    m_logger.Warning("host-silent", "host={}", name.Value());
  }
  m_state.SubmitOrReplaceEdit(
    "suspect", [silent](TableDraft& aDraft, const MeshState& aState) {
      bool changed = false;
      for (const auto& name : silent) {
        if (aState.Suspected(name)) {
          continue;
        }
        aDraft.table.DropSuspicion(name); // Removes a refuted one.
        aDraft.table.Suspect(name);
        changed = true;
      }
      return changed;
    });
}

void
CoordinatorTask::RemoveSuspectedHosts()
{
  const auto now = m_clock.Now();
  for (const auto& suspicion : m_state.State().Table().suspicions) {
    const auto seen = m_suspicionFirstSeenAt.find(suspicion.number);
    const bool due = seen != m_suspicionFirstSeenAt.end() &&
                     now - seen->second >= kTakeoverWait;
    if (!due || !m_state.State().Suspected(suspicion.host)) {
      continue;
    }
    m_logger.Warning("host-given-up",
                     "host={} suspicion={}",
                     suspicion.host.Value(),
                     suspicion.number);
    m_state.SubmitOrReplaceEdit(
      "takeover/" + suspicion.host.Value(),
      [suspicion](TableDraft& aDraft, const MeshState& aState) {
        const auto* standing = aState.Table().FindSuspicion(suspicion.host);
        if (standing == nullptr || standing->number != suspicion.number ||
            !aState.Suspected(suspicion.host)) {
          return false;
        }
        for (const auto& [service, rows] : aState.Table().services) {
          for (const auto& row : rows) {
            if (row.holder.host == suspicion.host && !row.unconfirmed) {
              aDraft.table.Free(service, row.range, {});
            }
          }
        }
        aDraft.table.DropSuspicion(suspicion.host);
        aDraft.removedHosts.push_back(suspicion.host);
        return true;
      });
  }
}

}
