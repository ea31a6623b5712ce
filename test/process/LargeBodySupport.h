#ifndef PISTACHIOSHIFT_TEST_PROCESS_LARGEBODYSUPPORT_H
#define PISTACHIOSHIFT_TEST_PROCESS_LARGEBODYSUPPORT_H

#include <algorithm>
#include <csignal>
#include <fstream>
#include <future>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include <gtest/gtest.h>

#include <fmt/format.h>

#include "test/process/MeshSupport.h"

namespace pistachioshift {
using namespace std::chrono_literals;

constexpr size_t kMiB = size_t{ 1 } << 20U;
constexpr size_t kBodyBytes = 64 * kMiB;
constexpr size_t kEchoBytes = 8 * kMiB;
constexpr size_t kEachWay = 20;
constexpr size_t kThrough = 2;  ///< Daemons that callers go through.
constexpr size_t kPeriod = 251; ///< Of the stand-in's blob: p modulo this.
constexpr auto kReadPause = 1ms;
constexpr int kServerPauses = 100;
constexpr int kMinServerPauseMs = 20;
constexpr int kMaxServerPauseMs = 200;
constexpr auto kTimeout = 150s;
/** Stated target of memory per daemon. */
constexpr size_t kMaxResidentKiB = size_t{ 256 } * 1024;

/** \brief Compares a body with the stand-in's blob as it comes. */
class BlobCheck
{
public:
  void Take(std::string_view aPart)
  {
    for (const char byte : aPart) {
      m_good = m_good && static_cast<unsigned char>(byte) == m_next;
      m_next = (m_next + 1) % kPeriod;
    }
    m_bytes += aPart.size();
  }

  bool IsWhole(size_t aBytes) const { return m_good && m_bytes == aBytes; }

private:
  size_t m_next = 0;
  size_t m_bytes = 0;
  bool m_good = true;
};

/** \brief Peak resident size in KiB. */
inline size_t
PeakResidentKiB(pid_t aPid)
{
  std::ifstream status(fmt::format("/proc/{}/status", aPid));
  std::string word;
  size_t size = 0;
  while (status >> word) {
    if (word == "VmHWM:") {
      status >> size;
    }
  }
  return size;
}

/** \brief Bodies that are larger than what a daemon may hold. */
class LargeBodyTest : public ::testing::Test
{
protected:
  /** \brief Empty for a whole transfer, else what came instead. */
  using Pending = std::future<std::string>;

  LargeBodyTest()
    : m_mesh({ .deadline = std::chrono::milliseconds(kTimeout) })
  {
  }

  std::string Outcome(const test::HttpReply& aReply, bool aWhole) const
  {
    constexpr size_t kShown = 200;
    const std::chrono::duration<double> taken = Clock::now() - m_started;
    return aReply.status == 200 && aWhole
             ? ""
             : fmt::format("status {}, {} bytes after {:.1f} s: {}",
                           aReply.status,
                           aReply.body.size(),
                           taken.count(),
                           aReply.body.substr(0, kShown));
  }

  /** \brief Says why daemons refused or lost requests, if they did. */
  static void PrintReasons(const test::MeshHost& aHost)
  {
    std::istringstream lines(test::HttpGet(aHost.operators, "/metrics").body);
    std::string line;
    while (std::getline(lines, line)) {
      const bool reason = line.find("_total{reason=") != std::string::npos;
      if (reason && !line.ends_with(" 0")) {
        std::cout << aHost.settingsFile << ": " << line << '\n';
      }
    }
  }

  uint16_t Port(size_t aNumber)
  {
    return m_mesh.Host(aNumber % kThrough).callers;
  }

  Pending StartDownload(size_t aNumber, std::chrono::milliseconds aPause)
  {
    const auto path =
      fmt::format("/orders/large-{}/blob?bytes={}", aNumber, kBodyBytes);
    return std::async(std::launch::async, [=, this, port = Port(aNumber)] {
      BlobCheck check;
      const auto reply =
        test::HttpSend({ .port = port,
                         .path = path,
                         .onBody =
                           [&](std::string_view aPart) {
                             check.Take(aPart);
                             std::this_thread::sleep_for(aPause);
                           },
                         .timeout = kTimeout });
      return Outcome(reply, check.IsWhole(kBodyBytes));
    });
  }

  Pending StartUpload(size_t aNumber, const std::string& aBody)
  {
    const auto path = fmt::format("/orders/large-{}/sink", aNumber);
    return std::async(
      std::launch::async, [=, this, &aBody, port = Port(aNumber)] {
        const auto reply = test::HttpSend({ .port = port,
                                            .path = path,
                                            .isPost = true,
                                            .body = aBody,
                                            .timeout = kTimeout });
        return Outcome(reply,
                       reply.body == std::to_string(aBody.size()) + "\n");
      });
  }

  /** \brief Uploads a body and gets it back. */
  Pending StartEcho(size_t aNumber, const std::string& aBody)
  {
    const auto path = fmt::format("/orders/large-{}/echo", aNumber);
    return std::async(
      std::launch::async, [=, this, &aBody, port = Port(aNumber)] {
        const auto reply = test::HttpSend({ .port = port,
                                            .path = path,
                                            .isPost = true,
                                            .body = aBody,
                                            .timeout = kTimeout });
        return Outcome(reply, reply.body == aBody);
      });
  }

  /** \brief Stops one backend server after the other, for a moment each. */
  void PauseServersDuring(const std::vector<Pending>& aTransfers)
  {
    std::mt19937 random(1);
    std::uniform_int_distribution<size_t> host(0, m_mesh.Size() - 1);
    std::uniform_int_distribution<int> length(kMinServerPauseMs,
                                              kMaxServerPauseMs);
    const auto ended = [](const Pending& aTransfer) {
      return aTransfer.wait_for(0s) == std::future_status::ready;
    };
    for (int pause = 0; pause < kServerPauses; ++pause) {
      if (std::all_of(aTransfers.begin(), aTransfers.end(), ended)) {
        return;
      }
      const auto& server = *m_mesh.Host(host(random)).serverProcess;
      server.Signal(SIGSTOP);
      std::this_thread::sleep_for(std::chrono::milliseconds(length(random)));
      server.Signal(SIGCONT);
    }
  }

  void ExpectWhole(std::vector<Pending>& aTransfers)
  {
    for (size_t number = 0; number < aTransfers.size(); ++number) {
      EXPECT_EQ(aTransfers[number].get(), "") << "transfer " << number;
    }
    for (size_t index = 0; HasFailure() && index < m_mesh.Size(); ++index) {
      PrintReasons(m_mesh.Host(index));
    }
  }

  using Clock = std::chrono::steady_clock;

  test::Mesh m_mesh;
  Clock::time_point m_started = Clock::now();
};

}

#endif
