#ifndef PISTACHIOSHIFT_TEST_PROCESS_PROCESSSUPPORT_H
#define PISTACHIOSHIFT_TEST_PROCESS_PROCESSSUPPORT_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace pistachioshift::test {

/** \brief Longest wait of a test for something that should happen at once. */
constexpr auto kPatience = std::chrono::seconds(20);

/**
 * \brief A program of the build folder, run as a child.
 *
 * Its standard output is read through a pipe, its standard error is that of
 * the test. Killed and reaped by its id at the latest on destruction.
 */
class ChildProcess
{
public:
  /** \brief Starts `name` with flags; throws std::runtime_error. */
  explicit ChildProcess(const std::string& aName,
                        const std::vector<std::string>& aFlags = {});
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t Pid() const { return m_pid; }

  /** \brief Next line that starts with aPrefix; nothing at end or timeout. */
  std::optional<std::string> WaitForLine(
    const std::string& aPrefix,
    std::chrono::milliseconds aTimeout = kPatience);

  /** \brief Waits for `listening ... port=N`; throws std::runtime_error. */
  uint16_t WaitForPort(const std::string& aField = "port");

  /** \brief Sends a signal; SIGSTOP and SIGCONT freeze and thaw. */
  void Signal(int aSignal) const;

  /** \brief Sends SIGTERM and reaps. \return the exit code. */
  int Stop();

  /** \brief Sends SIGKILL and reaps. */
  void Kill();

  /** \brief Waits for the end. \return exit code, or minus the signal. */
  int Wait();

private:
  bool FillBuffer(std::chrono::milliseconds aTimeout);
  std::optional<std::string> TakeLine();

  pid_t m_pid = -1;
  int m_output = -1;
  std::string m_buffer;
};

/** \brief Value of `field=value` in a line of words; nothing if absent. */
std::optional<std::string> FieldOf(const std::string& aLine,
                                   const std::string& aField);

}

#endif
