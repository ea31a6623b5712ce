#ifndef PISTACHIOSHIFT_TEST_PROCESS_HOSTILESERVERSUPPORT_H
#define PISTACHIOSHIFT_TEST_PROCESS_HOSTILESERVERSUPPORT_H

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace pistachioshift::test {

/**
 * \brief What a server sends: a start, in which `{id}` stands for the id of the
 * request, then a unit again and again until the connection is closed.
 */
struct HostileAnswer
{
  std::string start;
  std::string unit;                     ///< Empty: the answer is complete.
  std::chrono::milliseconds interval{}; ///< Between units; 0: at full speed.
  bool closes = false; ///< Closes the connection after the start.
  /// Is sent as soon as the head of a request is there. The rest of the request
  /// is left unread, and the connection is reset after the interval.
  bool resets = false;
};

/**
 * \brief Backend server whose answers are raw bytes, chosen by the path, or by
 * the path and " rest" for a request for the rest of a body.
 */
class HostileServer
{
public:
  HostileServer(uint16_t aPort, std::map<std::string, HostileAnswer> aAnswers);
  ~HostileServer();
  HostileServer(const HostileServer&) = delete;
  HostileServer& operator=(const HostileServer&) = delete;

  /** \brief Connections on which an endless answer is being sent. */
  int Sending() const { return m_sending; }

  /** \brief Requests received for a path. */
  int Requests(const std::string& aPath);

private:
  void Accept();
  void Serve(int aSocket);
  const HostileAnswer& AnswerTo(const std::string& aRequest) const;
  void Answer(int aSocket, const std::string& aRequest);

  std::map<std::string, HostileAnswer> m_answers;
  int m_listener;
  std::atomic<bool> m_stop{ false };
  std::atomic<int> m_sending{ 0 };
  std::mutex m_mutex;
  std::map<std::string, int> m_requests;
  std::vector<int> m_sockets;
  std::vector<std::thread> m_threads;
  std::thread m_acceptor;
};

/** \brief A caller that reads for as long as bytes come. */
class RawCaller
{
public:
  /** \brief Sends a request to 127.0.0.1. */
  RawCaller(uint16_t aPort, const std::string& aRequest);
  ~RawCaller();
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  /** \brief Waits for bytes. \return how many; 0: closed or late. */
  size_t Read(std::chrono::milliseconds aPatience);

  /** \brief Reads until the daemon closes. \return false if it is late. */
  bool ReadToClose(std::chrono::steady_clock::time_point aLimit);

  /** \brief What came last. */
  const std::string& Tail() const { return m_tail; }
  size_t Received() const { return m_received; }

private:
  int m_socket;
  std::string m_tail;
  size_t m_received = 0;
  bool m_closed = false;
};

/**
 * \brief A caller that sends a request to 127.0.0.1, whatever comes meanwhile,
 * and keeps all that it reads until the connection ends.
 */
class WholeCaller
{
public:
  WholeCaller(uint16_t aPort, std::string aRequest);

  const std::string& Answer() const { return m_answer; }
  int Status() const;

  /** \brief Whether the answer has the end that its head announces. */
  bool IsWhole() const;

private:
  void Read(int aSocket);

  std::string m_answer;
  bool m_orderly = false; ///< The connection was closed and not reset.
};

}

#endif
