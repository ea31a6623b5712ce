#include "test/process/HostileServerSupport.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pistachioshift::test {

namespace {

constexpr size_t kBlockBytes = size_t{ 64 } * 1024;
constexpr int kBacklog = 64;

bool
SendAll(int aSocket, const std::string& aBytes)
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto count =
      send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

bool
PeerClosed(int aSocket)
{
  char byte = 0;
  return recv(aSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

sockaddr_in
LoopbackAddress(uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  return address;
}

std::string
HeaderOf(const std::string& aRequest, const std::string& aName)
{
  const auto at = aRequest.find("\r\n" + aName + ": ");
  if (at == std::string::npos) {
    return "";
  }
  const auto begin = at + aName.size() + 4;
  return aRequest.substr(begin, aRequest.find('\r', begin) - begin);
}

std::string
PathOf(const std::string& aRequest)
{
  const auto begin = aRequest.find(' ') + 1;
  return aRequest.substr(begin, aRequest.find(' ', begin) - begin);
}

/** Resets the connection and leaves the descriptor open for other threads. */
void
Reset(int aSocket)
{
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  if (connect(aSocket, &none, sizeof none) != 0) {
    throw std::runtime_error("can't reset a connection");
  }
}

std::string
Block(const HostileAnswer& aAnswer)
{
  std::string block = aAnswer.unit;
  while (aAnswer.interval.count() == 0 && block.size() < kBlockBytes) {
    block += aAnswer.unit;
  }
  return block;
}

}

HostileServer::HostileServer(uint16_t aPort,
                             std::map<std::string, HostileAnswer> aAnswers)
  : m_answers(std::move(aAnswers))
  , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const int on = 1;
  setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto address = LoopbackAddress(aPort);
  if (bind(m_listener,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(m_listener, kBacklog) != 0) {
    throw std::runtime_error("can't listen on the port of the hostile server");
  }
  m_acceptor = std::thread([this] { Accept(); });
}

HostileServer::~HostileServer()
{
  m_stop = true;
  shutdown(m_listener, SHUT_RDWR);
  m_acceptor.join();
  for (const int socket : m_sockets) {
    shutdown(socket, SHUT_RDWR);
  }
  for (auto& thread : m_threads) {
    thread.join();
  }
  for (const int socket : m_sockets) {
    close(socket);
  }
  close(m_listener);
}

int
HostileServer::Requests(const std::string& aPath)
{
  const std::scoped_lock lock(m_mutex);
  return m_requests[aPath];
}

void
HostileServer::Accept()
{
  while (!m_stop) {
    const int socket = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket >= 0) {
      m_sockets.push_back(socket);
      m_threads.emplace_back([this, socket] { Serve(socket); });
    }
  }
}

void
HostileServer::Serve(int aSocket)
{
  std::string request;
  char buffer[4096];
  ssize_t count = 0;
  while ((count = recv(aSocket, buffer, sizeof(buffer), 0)) > 0) {
    request.append(buffer, static_cast<size_t>(count));
    const bool headDone = request.find("\r\n\r\n") != std::string::npos;
    if (headDone && AnswerTo(request).resets) {
      Answer(aSocket, request);
      return;
    }
    if (request.ends_with("\r\n\r\n")) {
      Answer(aSocket, request);
      request.clear();
    }
  }
  shutdown(aSocket, SHUT_RDWR);
}

const HostileAnswer&
HostileServer::AnswerTo(const std::string& aRequest) const
{
  const auto path = PathOf(aRequest);
  const bool rest = !HeaderOf(aRequest, "Range").empty();
  return m_answers.at(rest ? path + " rest" : path);
}

void
HostileServer::Answer(int aSocket, const std::string& aRequest)
{
  {
    const std::scoped_lock lock(m_mutex);
    ++m_requests[PathOf(aRequest)];
  }
  const auto& answer = AnswerTo(aRequest);
  auto start = answer.start;
  if (const auto at = start.find("{id}"); at != std::string::npos) {
    start.replace(at, 4, HeaderOf(aRequest, "Pistachioshift-Attempt-Id"));
  }
  const bool sent = SendAll(aSocket, start);
  if (answer.resets) {
    std::this_thread::sleep_for(answer.interval);
    Reset(aSocket);
    return;
  }
  if (!sent || answer.closes) {
    shutdown(aSocket, SHUT_RDWR);
    return;
  }
  if (answer.unit.empty()) {
    return;
  }
  ++m_sending;
  const auto block = Block(answer);
  while (!m_stop && !PeerClosed(aSocket) && SendAll(aSocket, block)) {
    std::this_thread::sleep_for(answer.interval);
  }
  --m_sending;
  shutdown(aSocket, SHUT_RDWR);
}

RawCaller::RawCaller(uint16_t aPort, const std::string& aRequest)
  : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const auto address = LoopbackAddress(aPort);
  if (connect(m_socket,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0 ||
      !SendAll(m_socket, aRequest)) {
    throw std::runtime_error("can't send a request");
  }
}

RawCaller::~RawCaller()
{
  close(m_socket);
}

size_t
RawCaller::Read(std::chrono::milliseconds aPatience)
{
  pollfd wait{ m_socket, POLLIN, 0 };
  if (poll(&wait, 1, static_cast<int>(aPatience.count())) <= 0) {
    return 0;
  }
  std::string part(kBlockBytes, '\0');
  const auto count = recv(m_socket, part.data(), part.size(), 0);
  m_closed = count <= 0;
  const auto bytes = static_cast<size_t>(std::max<ssize_t>(count, 0));
  m_received += bytes;
  m_tail.append(part, 0, bytes);
  m_tail.erase(0, m_tail.size() - std::min(m_tail.size(), size_t{ 1024 }));
  return bytes;
}

bool
RawCaller::ReadToClose(std::chrono::steady_clock::time_point aLimit)
{
  while (!m_closed && std::chrono::steady_clock::now() < aLimit) {
    Read(std::chrono::milliseconds(100));
  }
  return m_closed;
}

WholeCaller::WholeCaller(uint16_t aPort, std::string aRequest)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = LoopbackAddress(aPort);
  if (connect(socket,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(socket);
    throw std::runtime_error("can't connect to a daemon");
  }
  std::thread sender(
    [socket, request = std::move(aRequest)] { SendAll(socket, request); });
  Read(socket);
  shutdown(socket, SHUT_RDWR);
  sender.join();
  close(socket);
}

void
WholeCaller::Read(int aSocket)
{
  constexpr std::chrono::milliseconds kLimit = std::chrono::seconds(20);
  pollfd wait{ aSocket, POLLIN, 0 };
  char part[4096];
  ssize_t count = 1;
  while (count > 0 && poll(&wait, 1, static_cast<int>(kLimit.count())) > 0) {
    count = recv(aSocket, part, sizeof(part), 0);
    m_answer.append(part, static_cast<size_t>(std::max<ssize_t>(count, 0)));
  }
  m_orderly = count == 0;
}

int
WholeCaller::Status() const
{
  constexpr size_t kAt = 9; // After the version.
  constexpr size_t kDigits = 3;
  int status = 0;
  if (m_answer.size() > kAt + kDigits) {
    const char* digits = m_answer.data() + kAt;
    std::from_chars(digits, digits + kDigits, status);
  }
  return status;
}

bool
WholeCaller::IsWhole() const
{
  const std::string end = "\r\n\r\n";
  const auto head = m_answer.find(end);
  if (head == std::string::npos) {
    return false;
  }
  if (m_answer.find("Transfer-Encoding: chunked") < head) {
    return m_answer.ends_with("\r\n0" + end);
  }
  const std::string length = "Content-Length: ";
  if (const auto at = m_answer.find(length); at < head) {
    const auto bytes = std::stoul(m_answer.substr(at + length.size()));
    return m_answer.size() == head + end.size() + bytes;
  }
  return m_orderly;
}

}
