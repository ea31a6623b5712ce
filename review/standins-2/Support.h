#ifndef REVIEW_STANDINS_2_SUPPORT_H
#define REVIEW_STANDINS_2_SUPPORT_H

// What the scripts of this review share: time and record, child processes,
// free ports, a small HTTP/1.1 server and client with one thread a connection.
// Loopback addresses only.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline Clock::time_point
StartOfRun()
{
  static const auto start = Clock::now();
  return start;
}

/** Milliseconds since the start of the run. */
inline int64_t
Now()
{
  return std::chrono::duration_cast<Millis>(Clock::now() - StartOfRun())
    .count();
}

inline int64_t
WallMillis()
{
  return std::chrono::duration_cast<Millis>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void
SleepMs(int64_t aMs)
{
  if (aMs > 0) {
    std::this_thread::sleep_for(Millis(aMs));
  }
}

inline void
SleepUntil(int64_t aAt)
{
  SleepMs(aAt - Now());
}

/** Writes record.txt: one line for each event. */
class Record
{
public:
  explicit Record(const std::string& aPath)
    : m_file(std::fopen(aPath.c_str(), "w"))
  {
    if (m_file == nullptr) {
      throw std::runtime_error("cannot write " + aPath);
    }
  }

  template<class... Args>
  void Line(const char* aFormat, Args... aArgs)
  {
    const std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%8.3f ", static_cast<double>(Now()) / 1000.0);
    if constexpr (sizeof...(aArgs) == 0) {
      std::fputs(aFormat, m_file);
    } else {
      std::fprintf(m_file, aFormat, aArgs...);
    }
    std::fputc('\n', m_file);
    std::fflush(m_file);
  }

private:
  std::mutex m_mutex;
  std::FILE* m_file;
};

inline bool
CanBind(int aSocket, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(aPort));
  return bind(aSocket, reinterpret_cast<sockaddr*>(&address), sizeof address) ==
         0;
}

/** First port of a block that this run has for itself: a socket at that port
 * keeps other runs away. The blocks are below the ports that the kernel gives to
 * outgoing connections, which could take the port of a daemon that restarts. */
inline int
PortBlock()
{
  constexpr int kFirst = 10000;
  constexpr int kBlocks = 170;
  constexpr int kBlockSize = 128;
  static const int block = [] {
    std::mt19937 random(std::random_device{}());
    for (int tries = 0; tries < 2000; ++tries) {
      const int first =
        kFirst +
        kBlockSize * std::uniform_int_distribution<int>(0, kBlocks - 1)(random);
      const int guard = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (CanBind(guard, first)) {
        return first; // The guard stays open.
      }
      close(guard);
    }
    throw std::runtime_error("no free block of ports");
  }();
  return block;
}

/** Neighbouring ports that are free now; each is given once. */
inline uint16_t
FreePorts(int aCount)
{
  static int next = PortBlock() + 1;
  for (int tries = 0; tries < 100; ++tries) {
    const int first = next;
    bool good = true;
    for (int port = first; port < first + aCount && good; ++port) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      good = CanBind(fd, port);
      close(fd);
      next = port + 1;
    }
    if (good) {
      return static_cast<uint16_t>(first);
    }
  }
  throw std::runtime_error("no free ports");
}

/** A process that this run started; killed when the run ends. */
class Child
{
public:
  Child(std::vector<std::string> aCommand, const std::string& aOutput)
  {
    m_pid = fork();
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with this run, whatever ends it.
      const int fd =
        open(aOutput.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      std::vector<char*> arguments;
      for (auto& word : aCommand) {
        arguments.push_back(word.data());
      }
      arguments.push_back(nullptr);
      execv(arguments[0], arguments.data());
      _exit(127);
    }
  }
  ~Child() { Stop(SIGKILL); }
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  void Signal(int aSignal) const { kill(m_pid, aSignal); }
  bool Running()
  {
    if (m_pid > 0 && waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
      m_pid = 0;
    }
    return m_pid > 0;
  }
  /** Sends a signal and waits until the process has ended. */
  void Stop(int aSignal)
  {
    if (m_pid > 0) {
      kill(m_pid, aSignal);
      waitpid(m_pid, &m_status, 0);
      m_pid = 0;
    }
  }
  int Status() const { return m_status; }

private:
  pid_t m_pid = 0;
  int m_status = 0;
};

inline bool
SameName(const std::string& aLeft, const std::string& aRight)
{
  return strcasecmp(aLeft.c_str(), aRight.c_str()) == 0;
}

struct Message
{
  std::string method, target;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool complete = false;

  std::string Header(const std::string& aName) const
  {
    for (const auto& [name, value] : headers) {
      if (SameName(name, aName)) {
        return value;
      }
    }
    return {};
  }
  std::string Query(const std::string& aName) const
  {
    auto at = target.find('?');
    while (at != std::string::npos) {
      const auto end = target.find('&', at + 1);
      const auto part = target.substr(
        at + 1, end == std::string::npos ? end : end - at - 1);
      if (part.starts_with(aName + "=")) {
        return part.substr(aName.size() + 1);
      }
      at = end;
    }
    return {};
  }
};

/** Reads one message; `buffer` keeps what came after it. */
inline bool
ReadMessage(int aFd, std::string& aBuffer, Message& aMessage, int64_t aUntil)
{
  const auto more = [&] {
    const auto left = aUntil < 0 ? -1 : std::max<int64_t>(aUntil - Now(), 0);
    pollfd entry{ aFd, POLLIN, 0 };
    if (poll(&entry, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char bytes[65536];
    const auto size = recv(aFd, bytes, sizeof bytes, 0);
    if (size <= 0) {
      return false;
    }
    aBuffer.append(bytes, static_cast<size_t>(size));
    return true;
  };
  size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  const auto head = aBuffer.substr(0, end);
  aBuffer.erase(0, end + 4);
  size_t at = head.find("\r\n");
  const auto first = head.substr(0, at);
  if (first.starts_with("HTTP/")) {
    aMessage.status = std::atoi(first.c_str() + 9);
  } else {
    const auto one = first.find(' ');
    aMessage.method = first.substr(0, one);
    aMessage.target =
      first.substr(one + 1, first.find(' ', one + 1) - one - 1);
  }
  while (at != std::string::npos) {
    const auto next = head.find("\r\n", at + 2);
    const auto line = head.substr(
      at + 2, next == std::string::npos ? next : next - at - 2);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      aMessage.headers.emplace_back(line.substr(0, colon), value);
    }
    at = next;
  }
  if (SameName(aMessage.Header("Transfer-Encoding"), "chunked")) {
    for (;;) {
      size_t line = 0;
      while ((line = aBuffer.find("\r\n")) == std::string::npos) {
        if (!more()) {
          return false;
        }
      }
      const auto size = std::stoul(aBuffer.substr(0, line), nullptr, 16);
      while (aBuffer.size() < line + 2 + size + 2) {
        if (!more()) {
          return false;
        }
      }
      aMessage.body += aBuffer.substr(line + 2, size);
      aBuffer.erase(0, line + 2 + size + 2);
      if (size == 0) {
        break;
      }
    }
  } else {
    const auto length = aMessage.Header("Content-Length");
    const size_t size = length.empty() ? 0 : std::stoul(length);
    while (aBuffer.size() < size) {
      if (!more()) {
        return false;
      }
    }
    aMessage.body = aBuffer.substr(0, size);
    aBuffer.erase(0, size);
  }
  aMessage.complete = true;
  return true;
}

inline bool
WriteAll(int aFd, const std::string& aBytes)
{
  size_t done = 0;
  while (done < aBytes.size()) {
    const auto size = send(
      aFd, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    done += static_cast<size_t>(size);
  }
  return true;
}

inline std::string
Answer(int aStatus,
       const std::vector<std::pair<std::string, std::string>>& aHeaders,
       const std::string& aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

/** Opens a connection; -1 if none can be made. */
inline int
ConnectTo(uint16_t aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

/** One request on a connection of its own; status 0: no whole answer, -1: no
 * connection. */
inline Message
Call(uint16_t aPort,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::vector<std::pair<std::string, std::string>>& aHeaders,
     const std::string& aBody,
     int64_t aTimeoutMs)
{
  Message answer;
  const int fd = ConnectTo(aPort);
  if (fd < 0) {
    answer.status = -1;
    return answer;
  }
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  if (!aBody.empty() || aMethod != "GET") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  std::string buffer;
  const bool done = WriteAll(fd, text + "\r\n" + aBody) &&
                    ReadMessage(fd, buffer, answer, Now() + aTimeoutMs);
  close(fd);
  if (!done) {
    answer.status = 0;
  }
  return answer;
}

/** HTTP server with a thread for each connection. The handler gets the socket
 * and writes the answer; it returns false to close the connection. */
class HttpServer
{
public:
  using Handler = std::function<bool(int aFd, const Message&)>;

  HttpServer(uint16_t aPort, Handler aHandler)
    : m_handler(std::move(aHandler))
  {
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(aPort);
    if (bind(m_listener,
             reinterpret_cast<sockaddr*>(&address),
             sizeof address) != 0 ||
        listen(m_listener, 256) != 0) {
      throw std::runtime_error("cannot listen");
    }
    m_thread = std::thread([this] { Accept(); });
  }
  ~HttpServer() { Stop(); }

  /** Resets all connections and stops listening, as the end of a process. */
  void Stop()
  {
    if (m_stopped.exchange(true)) {
      return;
    }
    shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    close(m_listener);
    {
      const std::lock_guard lock(m_mutex);
      for (const int fd : m_open) {
        const linger none{ 1, 0 };
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        shutdown(fd, SHUT_RDWR);
      }
    }
    while (m_threads > 0) {
      SleepMs(1);
    }
  }

private:
  void Accept()
  {
    for (;;) {
      const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (m_stopped) {
          return;
        }
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      ++m_threads;
      {
        const std::lock_guard lock(m_mutex);
        m_open.insert(fd);
      }
      std::thread([this, fd] {
        std::string buffer;
        for (;;) {
          Message message;
          if (!ReadMessage(fd, buffer, message, -1) ||
              !m_handler(fd, message)) {
            break;
          }
        }
        {
          const std::lock_guard lock(m_mutex);
          m_open.erase(fd);
        }
        close(fd);
        --m_threads;
      }).detach();
    }
  }

  Handler m_handler;
  int m_listener = -1;
  std::atomic<bool> m_stopped = false;
  std::atomic<int> m_threads = 0;
  std::mutex m_mutex;
  std::set<int> m_open;
  std::thread m_thread;
};

}

#endif
