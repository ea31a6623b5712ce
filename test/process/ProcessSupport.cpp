#include "test/process/ProcessSupport.h"

#include <csignal>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace pistachioshift::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::vector<char*>
ToArguments(std::vector<std::string>& aWords)
{
  std::vector<char*> arguments;
  arguments.reserve(aWords.size() + 1);
  for (auto& word : aWords) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  return arguments;
}

}

ChildProcess::ChildProcess(const std::string& aName,
                           const std::vector<std::string>& aFlags)
{
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0) {
    throw std::runtime_error("pipe failed");
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
  std::vector<std::string> words{ PISTACHIOSHIFT_BUILD "/" + aName };
  words.insert(words.end(), aFlags.begin(), aFlags.end());
  const auto arguments = ToArguments(words);
  const int code = posix_spawn(
    &m_pid, words[0].c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(ends[1]);
  m_output = ends[0];
  if (code != 0) {
    m_pid = -1;
    close(m_output);
    throw std::runtime_error("can't start " + words[0]);
  }
}

ChildProcess::~ChildProcess()
{
  Kill();
  close(m_output);
}

std::optional<std::string>
ChildProcess::WaitForLine(const std::string& aPrefix, milliseconds aTimeout)
{
  const auto until = steady_clock::now() + aTimeout;
  for (;;) {
    while (auto line = TakeLine()) {
      if (line->starts_with(aPrefix)) {
        return line;
      }
    }
    const auto left =
      std::chrono::duration_cast<milliseconds>(until - steady_clock::now());
    if (left <= milliseconds(0) || !FillBuffer(left)) {
      return std::nullopt;
    }
  }
}

uint16_t
ChildProcess::WaitForPort(const std::string& aField)
{
  const auto line = WaitForLine("listening");
  const auto port = line ? FieldOf(*line, aField) : std::nullopt;
  if (!port) {
    throw std::runtime_error("no listening line with " + aField);
  }
  return static_cast<uint16_t>(std::stoi(*port));
}

void
ChildProcess::Signal(int aSignal) const
{
  if (m_pid > 0) {
    kill(m_pid, aSignal);
  }
}

int
ChildProcess::Stop()
{
  Signal(SIGTERM);
  return Wait();
}

void
ChildProcess::Kill()
{
  Signal(SIGKILL);
  Wait();
}

int
ChildProcess::Wait()
{
  if (m_pid <= 0) {
    return 0;
  }
  int status = 0;
  waitpid(m_pid, &status, 0);
  m_pid = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

bool
ChildProcess::FillBuffer(milliseconds aTimeout)
{
  pollfd poller{ m_output, POLLIN, 0 };
  if (poll(&poller, 1, static_cast<int>(aTimeout.count())) <= 0) {
    return false;
  }
  char bytes[4096];
  const ssize_t count = read(m_output, bytes, sizeof bytes);
  if (count <= 0) {
    return false;
  }
  m_buffer.append(bytes, static_cast<size_t>(count));
  return true;
}

std::optional<std::string>
ChildProcess::TakeLine()
{
  const auto end = m_buffer.find('\n');
  if (end == std::string::npos) {
    return std::nullopt;
  }
  std::string line = m_buffer.substr(0, end);
  m_buffer.erase(0, end + 1);
  return line;
}

std::optional<std::string>
FieldOf(const std::string& aLine, const std::string& aField)
{
  std::istringstream words(aLine);
  const std::string start = aField + "=";
  std::string word;
  while (words >> word) {
    if (word.starts_with(start)) {
      return word.substr(start.size());
    }
  }
  return std::nullopt;
}

}
