#include "src/Daemon/Metrics.h"

#include <prometheus/text_serializer.h>

namespace pistachioshift {

namespace {

const prometheus::Histogram::BucketBoundaries kLatencyBounds{
  0.0005, 0.001, 0.002, 0.005, 0.010, 0.015, 0.019, 0.025,
  0.050,  0.100, 0.250, 0.500, 1.0,   2.0,   5.0,   10.0
}; // seconds

}

Metrics::Metrics()
  : m_registry(std::make_shared<prometheus::Registry>())
  , m_answers(
      AddCounters("pistachio_answers_total", "Answers to callers, by outcome"))
  , m_refusals(AddCounters("pistachio_refusals_total",
                           "Refusals sent to callers, by reason"))
  , m_admissionRefusals(
      AddCounters("pistachio_gate_refusals_total",
                  "Requests that this daemon refused to pass to "
                  "its backend server, by reason"))
  , m_retries(
      AddCounters("pistachio_retries_total", "Retries of requests, by reason"))
  , m_cutAnswers(AddCounters("pistachio_cut_answers_total",
                             "Requests whose connection was closed before the "
                             "end of the answer, by reason"))
  , m_httpRefusals(
      AddCounters("pistachio_http_refusals_total",
                  "Requests refused by the HTTP server, by reason"))
  , m_connectionEnds(
      AddCounters("pistachio_inner_connection_ends_total",
                  "Ended connections to other daemons, by reason"))
  , m_serverFailures(
      AddCounters("pistachio_server_failures_total",
                  "Failed calls to the backend server, by reason"))
  , m_records(AddCounters("pistachio_log_records_total",
                          "Log records replayed, by stream and verdict"))
  , m_controlRefusals(AddCounters("pistachio_control_refusals_total",
                                  "Control messages refused, by reason"))
  , m_entryChanges(AddCounters("pistachio_entry_changes_total",
                               "Entries started and stopped on this daemon"))
  , m_outcomeQueries(AddCounters("pistachio_outcome_queries_total",
                                 "Answers to outcome queries, by state"))
  , m_outcomeReplies(AddCounters("pistachio_outcome_replies_total",
                                 "Replies of other daemons to outcome queries, "
                                 "by stated and taken state"))
  , m_uploads(AddCounters("pistachio_uploads_total",
                          "Bodies received ahead of their requests, by event"))
  , m_innerBytes(AddCounters("pistachio_inner_bytes_total",
                             "Bytes on compressed connections to other "
                             "daemons, by direction and form"))
  , m_withdrawnAfterStart(
      AddCounters("pistachio_withdrawn_after_start_total",
                  "Attempts taken for not run although their request had been "
                  "written to the backend server")
        .Add({}))
  , m_latency(prometheus::BuildHistogram()
                .Name("pistachio_request_seconds")
                .Help("Time from the head of a request to the end of its "
                      "answer, in seconds")
                .Register(*m_registry)
                .Add({}, kLatencyBounds))
{
  for (size_t index = 0; index < kRefusalReasonCount; ++index) {
    const auto name = ToString(static_cast<RefusalReason>(index));
    m_refusals.Add({ { "reason", std::string(name) } });
    m_admissionRefusals.Add({ { "reason", std::string(name) } });
  }
  for (size_t index = 0; index < kRetryReasonCount; ++index) {
    const auto name = ToString(static_cast<RetryReason>(index));
    m_retries.Add({ { "reason", std::string(name) } });
  }
  for (const auto outcome : kOutcomes) {
    m_answers.Add({ { "outcome", std::string(ToString(outcome)) } });
  }
}

Metrics::Counters&
Metrics::AddCounters(const char* aName, const char* aHelp)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(
    *m_registry);
}

void
Metrics::CountLabel(Counters& aFamily,
                    const char* aLabel,
                    std::string_view aValue)
{
  aFamily.Add({ { aLabel, std::string(aValue) } }).Increment();
}

void
Metrics::CountAnswer(Outcome aOutcome)
{
  CountLabel(m_answers, "outcome", ToString(aOutcome));
}

void
Metrics::CountRefusal(RefusalReason aReason)
{
  CountLabel(m_refusals, "reason", ToString(aReason));
}

void
Metrics::CountAdmissionRefusal(RefusalReason aReason)
{
  CountLabel(m_admissionRefusals, "reason", ToString(aReason));
}

void
Metrics::CountRetry(RetryReason aReason)
{
  CountLabel(m_retries, "reason", ToString(aReason));
}

void
Metrics::CountCutAnswer(std::string_view aReason)
{
  CountLabel(m_cutAnswers, "reason", aReason);
}

void
Metrics::CountHttpRefusal(std::string_view aReason)
{
  CountLabel(m_httpRefusals, "reason", aReason);
}

void
Metrics::CountConnectionEnd(std::string_view aReason)
{
  CountLabel(m_connectionEnds, "reason", aReason);
}

void
Metrics::CountServerFailure(std::string_view aReason)
{
  CountLabel(m_serverFailures, "reason", aReason);
}

void
Metrics::CountRecord(std::string_view aStream, std::string_view aVerdict)
{
  m_records
    .Add({ { "stream", std::string(aStream) },
           { "verdict", std::string(aVerdict) } })
    .Increment();
}

void
Metrics::CountControlRefusal(std::string_view aReason)
{
  CountLabel(m_controlRefusals, "reason", aReason);
}

void
Metrics::CountEntryChange(std::string_view aChange)
{
  CountLabel(m_entryChanges, "change", aChange);
}

void
Metrics::CountOutcomeQuery(std::string_view aState)
{
  CountLabel(m_outcomeQueries, "state", aState);
}

void
Metrics::CountOutcomeReply(std::string_view aStated, std::string_view aTaken)
{
  m_outcomeReplies
    .Add(
      { { "stated", std::string(aStated) }, { "taken", std::string(aTaken) } })
    .Increment();
}

void
Metrics::CountUpload(std::string_view aEvent)
{
  CountLabel(m_uploads, "event", aEvent);
}

void
Metrics::SetInnerBytes(std::string_view aDirection,
                       std::string_view aForm,
                       uint64_t aBytes)
{
  auto& counter = m_innerBytes.Add({ { "direction", std::string(aDirection) },
                                     { "form", std::string(aForm) } });
  counter.Increment(static_cast<double>(aBytes) - counter.Value());
}

void
Metrics::ObserveLatency(Duration aLatency)
{
  m_latency.Observe(std::chrono::duration<double>(aLatency).count());
}

void
Metrics::SetGauge(const std::string& aName, double aValue)
{
  prometheus::BuildGauge()
    .Name(aName)
    .Help("See docs/OPERATING.md")
    .Register(*m_registry)
    .Add({})
    .Set(aValue);
}

std::string
Metrics::Render() const
{
  return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

}
