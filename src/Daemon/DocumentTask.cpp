#include "src/Daemon/DocumentTask.h"

namespace pistachioshift {

DocumentTask::DocumentTask(event_base* aBase,
                           const Clock& aClock,
                           RandomEngine& aRandom,
                           LogService& aLog,
                           const Settings& aSettings,
                           BootId aBoot,
                           const Logger& aLogger,
                           Metrics& aMetrics)
  : m_logger(aLogger)
  , m_metrics(aMetrics)
{
  LogTaskOptions options;
  options.stream = StreamName(aSettings.log.documentStream);
  options.writer = aBoot;
  options.writesCheckpoints = true;
  options.checkpointInterval = aSettings.log.checkpointInterval;
  LogTaskHandlers handlers;
  handlers.record = [this](const LogRecord& aRecord) { OnRecord(aRecord); };
  handlers.saveState = [this] {
    return EncodeDocumentSnapshot(m_state.Snapshot());
  };
  handlers.loadState = [this](const std::string& aState) { LoadState(aState); };
  handlers.caughtUp = [this] {
    m_logger.Info("document-read", "version={}", m_state.Version().Value());
  };
  m_log = std::make_unique<LogTask>(aBase,
                                    aLog,
                                    aClock,
                                    RandomEngine(aRandom()),
                                    std::move(options),
                                    std::move(handlers));
}

void
DocumentTask::Start(ChangeCallback aCallback)
{
  m_callback = std::move(aCallback);
  m_log->Start();
}

void
DocumentTask::OnRecord(const LogRecord& aRecord)
{
  try {
    const auto edit = DecodeDocumentEdit(aRecord.body);
    const auto verdict = m_state.Apply(aRecord.offset, edit);
    m_metrics.CountRecord("document", EditResultName(verdict.result));
    m_logger.Info("document-edit",
                  "offset={} section={} result={}",
                  aRecord.offset.Value(),
                  verdict.section.Value(),
                  EditResultName(verdict.result));
  } catch (const InnerError&) {
    m_state.Skip(aRecord.offset);
    m_metrics.CountRecord("document", "malformed");
  }
  m_callback(m_state);
}

void
DocumentTask::LoadState(const std::string& aState)
{
  m_state.AdvanceTo(DecodeDocumentSnapshot(aState));
  m_callback(m_state);
}

}
