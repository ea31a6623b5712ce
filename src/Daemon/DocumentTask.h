#ifndef PISTACHIOSHIFT_DAEMON_DOCUMENTTASK_H
#define PISTACHIOSHIFT_DAEMON_DOCUMENTTASK_H

#include <functional>
#include <memory>

#include "Pistachioshift/Document"
#include "Pistachioshift/Inner"
#include "Pistachioshift/Log"
#include "src/Base/Logger.h"
#include "src/Daemon/Metrics.h"
#include "src/Daemon/Settings.h"

namespace pistachioshift {

/**
 * \brief Reads the document stream, which configures the services, and calls
 * back when a record or a checkpoint has been applied.
 */
class DocumentTask
{
public:
  using ChangeCallback = std::function<void(const DocumentState&)>;

  DocumentTask(event_base* aBase,
               const Clock& aClock,
               RandomEngine& aRandom,
               LogService& aLog,
               const Settings& aSettings,
               BootId aBoot,
               const Logger& aLogger,
               Metrics& aMetrics);

  /**
   * \brief Starts to read the stream.
   * \param aCallback called after each record and each loaded checkpoint.
   */
  void Start(ChangeCallback aCallback);

  const DocumentState& State() const { return m_state; }
  LogTask& Log() { return *m_log; }

private:
  void OnRecord(const LogRecord& aRecord);
  void LoadState(const std::string& aState);

  const Logger& m_logger;
  Metrics& m_metrics;
  ChangeCallback m_callback;
  DocumentState m_state;
  std::unique_ptr<LogTask> m_log;
};

}

#endif
