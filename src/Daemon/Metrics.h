#ifndef PISTACHIOSHIFT_DAEMON_METRICS_H
#define PISTACHIOSHIFT_DAEMON_METRICS_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "src/Base/Clock.h"
#include "src/Routing/Outcome.h"

namespace pistachioshift {

/** \brief Prometheus metrics of the daemon; names start with `pistachio_`. */
class Metrics
{
public:
  Metrics();

  /** \brief Counts an answer to a caller, refusals included. */
  void CountAnswer(Outcome aOutcome);
  /** \brief Counts a refusal sent to a caller. */
  void CountRefusal(RefusalReason aReason);
  /** \brief Counts a refusal to pass a request to the backend server. */
  void CountAdmissionRefusal(RefusalReason aReason);
  void CountRetry(RetryReason aReason);
  /** \brief Counts an answer whose connection was closed before its end. */
  void CountCutAnswer(std::string_view aReason);
  void CountHttpRefusal(std::string_view aReason);
  void CountConnectionEnd(std::string_view aReason);
  void CountServerFailure(std::string_view aReason);
  void CountRecord(std::string_view aStream, std::string_view aVerdict);
  void CountControlRefusal(std::string_view aReason);
  void CountEntryChange(std::string_view aChange);
  void CountOutcomeQuery(std::string_view aState);
  /** \brief Counts a reply of another daemon to an outcome query.
   * \param aTaken state that this daemon goes on with */
  void CountOutcomeReply(std::string_view aStated, std::string_view aTaken);
  void CountUpload(std::string_view aEvent);
  /** \brief Counts an attempt that was taken for not run after its request had
   * been written to the backend server. */
  void CountWithdrawnAfterStart() { m_withdrawnAfterStart.Increment(); }
  /** \brief Sets the bytes of compressed connections to other daemons.
   * \param aDirection sent or received
   * \param aForm frames (uncompressed) or wire */
  void SetInnerBytes(std::string_view aDirection,
                     std::string_view aForm,
                     uint64_t aBytes);
  void ObserveLatency(Duration aLatency);

  /** \brief Sets a gauge without labels, such as pistachio_in_flight. */
  void SetGauge(const std::string& aName, double aValue);

  /** \brief Returns all metrics in the text format of Prometheus. */
  std::string Render() const;

private:
  using Counters = prometheus::Family<prometheus::Counter>;

  void CountLabel(Counters& aFamily,
                  const char* aLabel,
                  std::string_view aValue);
  Counters& AddCounters(const char* aName, const char* aHelp);

  std::shared_ptr<prometheus::Registry> m_registry;
  Counters& m_answers;
  Counters& m_refusals;
  Counters& m_admissionRefusals;
  Counters& m_retries;
  Counters& m_cutAnswers;
  Counters& m_httpRefusals;
  Counters& m_connectionEnds;
  Counters& m_serverFailures;
  Counters& m_records;
  Counters& m_controlRefusals;
  Counters& m_entryChanges;
  Counters& m_outcomeQueries;
  Counters& m_outcomeReplies;
  Counters& m_uploads;
  Counters& m_innerBytes;
  prometheus::Counter& m_withdrawnAfterStart;
  prometheus::Histogram& m_latency;
};

}

#endif
