#ifndef PISTACHIOSHIFT_BENCH_POLICY_RESULTS_H
#define PISTACHIOSHIFT_BENCH_POLICY_RESULTS_H

#include <algorithm>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "bench/policy/Deployment.h"

namespace pistachioshift::bench {

// Fates of the requests of one run, from after its warm-up.
class Tally
{
public:
  void Done(Duration aLatency, bool aInTime, double aWork)
  {
    m_latencies.push_back(Seconds(aLatency));
    (aInTime ? m_goodWork : m_lateWork) += aWork;
    m_late += aInTime ? 0 : 1;
  }

  void Refused() { ++m_refused; }

  double Quantile(double aQuantile)
  {
    if (m_latencies.empty()) {
      return 0.0;
    }
    const auto last = static_cast<double>(m_latencies.size() - 1);
    const auto index = static_cast<std::ptrdiff_t>(aQuantile * last);
    const auto place = m_latencies.begin() + index;
    std::nth_element(m_latencies.begin(), place, m_latencies.end());
    return *place * 1e3;
  }

  double RefusedShare() const { return Share(m_refused); }
  double LateShare() const { return Share(m_late); }
  double GoodWork() const { return m_goodWork; }

private:
  double Share(size_t aCount) const
  {
    const auto all = m_latencies.size() + m_refused;
    return all == 0 ? 0.0
                    : static_cast<double>(aCount) / static_cast<double>(all);
  }

  std::vector<double> m_latencies;
  size_t m_refused = 0;
  size_t m_late = 0;
  double m_goodWork = 0.0;
  double m_lateWork = 0.0;
};

// One line of the table: where, what, by which policy, and its figures.
struct Row
{
  std::string deployment;
  std::string scenario;
  std::string policy;
  std::vector<std::pair<std::string, double>> figures;
};

class Table
{
public:
  void Add(Row aRow)
  {
    fmt::print(
      "{:<11}{:<17}{:<16}", aRow.deployment, aRow.scenario, aRow.policy);
    for (const auto& [name, value] : aRow.figures) {
      fmt::print("  {} {:.4g}", name, value);
    }
    fmt::print("\n");
    std::fflush(stdout);
    m_rows.push_back(std::move(aRow));
  }

  bool WriteCsv(const std::string& aPath) const
  {
    std::FILE* file = std::fopen(aPath.c_str(), "w");
    if (file == nullptr) {
      return false;
    }
    fmt::print(file, "deployment,scenario,policy,figure,value\n");
    for (const auto& row : m_rows) {
      for (const auto& [name, value] : row.figures) {
        fmt::print(file,
                   "{},{},{},{},{:.6g}\n",
                   row.deployment,
                   row.scenario,
                   row.policy,
                   name,
                   value);
      }
    }
    return std::fclose(file) == 0;
  }

private:
  std::vector<Row> m_rows;
};

}

#endif
