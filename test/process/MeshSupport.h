#ifndef PISTACHIOSHIFT_TEST_PROCESS_MESHSUPPORT_H
#define PISTACHIOSHIFT_TEST_PROCESS_MESHSUPPORT_H

#include <compare>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "src/Routing/ServicePolicy.h"
#include "test/process/HttpSupport.h"
#include "test/process/ProcessSupport.h"

namespace pistachioshift::test {

/** \brief Size and document of a mesh. */
struct MeshOptions
{
  size_t hosts = 4;
  size_t zones = 3;
  Fencing fencing = Fencing::kChecked;
  size_t slots = 9;
  /** \brief Of every class; an heir waits it out if fences go unchecked. */
  std::chrono::milliseconds deadline{ 1000 };
};

/** \brief A fence token as the backend server recorded it. */
struct RecordedFence
{
  int64_t entry = 0;
  int rank = 0;
  auto operator<=>(const RecordedFence&) const = default;
};

/** \brief One request in the record of a stand-in backend server. */
struct RecordedRun
{
  size_t host = 0;
  std::string key;
  std::string range;
  std::string method;
  std::string path;
  std::string outcome;
  RecordedFence fence;
  int64_t startMs = 0; ///< Wall-clock time of the backend server.
  int64_t endMs = 0;
  /** \brief Whether it began, also if it was broken off. */
  bool Ran() const;
};

/** \brief A daemon and its backend server; ports on 127.0.0.1. */
struct MeshHost
{
  std::string settingsFile;
  uint16_t inner = 0;
  uint16_t callers = 0;
  uint16_t operators = 0;
  uint16_t server = 0;
  std::unique_ptr<ChildProcess> serverProcess;
  std::unique_ptr<ChildProcess> daemonProcess;

  nlohmann::json Status() const;
  /** \brief Value of `name{labels}` in /metrics; 0 if absent. */
  double Metric(const std::string& aName) const;
};

/** \brief Log stand-in, hosts, and a document with service "orders". */
class Mesh
{
public:
  /** \brief Starts all; returns when every range is held. */
  explicit Mesh(const MeshOptions& aOptions);
  ~Mesh();
  Mesh(const Mesh&) = delete;
  Mesh& operator=(const Mesh&) = delete;

  MeshHost& Host(size_t aIndex) { return m_hosts[aIndex]; }
  size_t Size() const { return m_hosts.size(); }
  std::vector<uint16_t> CallerPorts() const;
  std::string Path(const std::string& aName) const;
  std::string LogFlag() const;
  uint16_t LogPort() const { return m_logPort; }

  /** \brief Runs pistachioctl. \return its exit code. */
  int Ctl(const std::vector<std::string>& aWords,
          std::string* aFirstLine = nullptr) const;
  /** \brief An edit; the base is a version, or "current" for any. */
  std::vector<std::string> EditWords(const std::string& aSection,
                                     const std::string& aFile,
                                     const std::string& aBase) const;
  void Write(const std::string& aName, const std::string& aText) const;

  /** \brief Text of section "demo". */
  std::string Document() const;

  void StartDaemon(size_t aIndex);
  void SetLogFault(const std::string& aQuery) const;

  /** \brief Index of the host that holds the key, by /explain of a host. */
  size_t OwnerOf(const std::string& aKey, size_t aAsked = 0);
  /** \brief A key that the host holds. */
  std::string KeyOf(size_t aIndex, size_t aAsked = 0);
  /** \brief Whether the host sees every range held, none by aGone. */
  bool AllHeld(size_t aAsked, int64_t aGone = -1) const;

  /** \brief What all backend servers ran, by time of start. */
  std::vector<RecordedRun> Record() const;

private:
  void PickPorts();
  void StartServers();
  void LoadDocument() const;

  MeshOptions m_options;
  std::filesystem::path m_folder;
  std::unique_ptr<ChildProcess> m_log;
  uint16_t m_logPort = 0;
  std::vector<MeshHost> m_hosts;
};

/** \brief Polls the condition; false after the limit. */
bool WaitUntil(const std::function<bool()>& aCondition,
               std::chrono::seconds aLimit = kPatience);

/**
 * \brief Requests that ran under an older fence token of their range after the
 * first start under a newer one, in words.
 * \param aTime what must not be later: the request's start or its end.
 */
std::vector<std::string> FindStaleRuns(
  const std::vector<RecordedRun>& aRuns,
  int64_t RecordedRun::*aTime = &RecordedRun::startMs);

}

#endif
