#ifndef PISTACHIOSHIFT_DAEMON_SERVERPROBE_H
#define PISTACHIOSHIFT_DAEMON_SERVERPROBE_H

#include <functional>
#include <memory>
#include <string>

#include "Pistachioshift/Http"
#include "src/Base/Clock.h"
#include "src/Daemon/Settings.h"
#include "src/Daemon/Timer.h"

namespace pistachioshift {

/** \brief Load as reported by the backend server. */
struct ServerLoad
{
  uint32_t inFlight = 0;
  uint32_t slots = 0;
  bool draining = false;
  MonoTime at;
};

/** \brief Polls health and load of the backend server periodically. */
class ServerProbe
{
public:
  using ReadyCallback = std::function<void(bool)>;

  ServerProbe(event_base* aBase,
              const Clock& aClock,
              const ServerSettings& aSettings);

  /** \brief Starts polling; the callback gets each change of readiness. */
  void Start(ReadyCallback aCallback);

  bool Ready() const { return m_ready; }
  const ServerLoad& Load() const { return m_load; }

private:
  class ResponseCollector;

  void Poll();
  void OnHealth(bool aHealthy);
  void OnLoad(const std::string& aBody);
  void Get(const std::string& aTarget,
           std::function<void(bool, const std::string&)> aCallback);

  const Clock& m_clock;
  ServerSettings m_settings;
  HttpClientPool m_pool;
  Timer m_timer;
  ReadyCallback m_callback;
  ServerLoad m_load;
  bool m_ready = false;
  bool m_pollPending = false;
  uint32_t m_failures = 0;
};

}

#endif
