#include <deque>
#include <map>

#include <gtest/gtest.h>

#include "Pistachioshift/Base"
#include "Pistachioshift/Routing"

namespace pistachioshift {
namespace {

using std::chrono::milliseconds;

constexpr uint32_t kHotKey = 1;
constexpr Duration kService = milliseconds(100);

/** A server with 6 slots that serves 60 requests per second. */
class KeyFairnessTest : public ::testing::Test
{
protected:
  static AdmissionSettings Settings()
  {
    AdmissionSettings settings;
    settings.slots = 6;
    settings.classes = { { 1.0, 100 } };
    settings.initialService = kService;
    return settings;
  }

  struct Count
  {
    int arrived = 0;
    int started = 0;
  };

  void Apply(const AdmissionActions& aActions)
  {
    for (const auto& id : aActions.starts) {
      m_ends.emplace_back(m_now + kService, id);
      ++(m_keys.at(id) == kHotKey ? m_hot : m_others).started;
    }
  }

  void Arrive(uint32_t aKey)
  {
    const RequestId id{ 1, ++m_count };
    m_keys[id] = aKey;
    ++(aKey == kHotKey ? m_hot : m_others).arrived;
    Apply(m_gate.Admit({ id, ClassIndex(0), m_now + milliseconds(300), aKey },
                       m_now));
  }

  void AdvanceTo(MonoTime aTime)
  {
    while (!m_ends.empty() && m_ends.front().first <= aTime) {
      const auto [end, id] = m_ends.front();
      m_ends.pop_front();
      m_now = end;
      Apply(m_gate.Finished(id, ServiceResult::kDone, m_now));
    }
    m_now = aTime;
    Apply(m_gate.Expire(m_now));
  }

  MonoTime m_now{ std::chrono::hours(1) };
  uint64_t m_count = 0;
  std::map<RequestId, uint32_t> m_keys;
  std::deque<std::pair<MonoTime, RequestId>> m_ends;
  Count m_hot;
  Count m_others;
  AdmissionController m_gate{ Settings() };
};

// Load pattern: one key has 16% of the load of a service of 38 servers, which
// is six times the mean load of its server and twice what the server can run.
// The other keys of the server alone are a third of its capacity. Guards
// against other keys that are refused because of the hot one.
TEST_F(KeyFairnessTest, OneKeyBeyondCapacity_OtherKeysAreServed)
{
  for (int step = 0; step < 1000; ++step) {
    AdvanceTo(m_now + milliseconds(10));
    Arrive(kHotKey);
    if (step % 5 == 0) {
      Arrive(kHotKey);
      Arrive(2 + step % 40);
    }
  }
  EXPECT_GE(m_others.started, 0.95 * m_others.arrived);
  // The hot key gets all that the others leave.
  EXPECT_GE(m_hot.started + m_others.started, 0.9 * 600);
}

// Guards against a hot key that starves while the other keys alone fill the
// server: it is entitled to the share of one key.
TEST_F(KeyFairnessTest, OtherKeysFillTheServer_HotKeyIsNotStarved)
{
  for (int step = 0; step < 1000; ++step) {
    AdvanceTo(m_now + milliseconds(10));
    Arrive(kHotKey);
    Arrive(2 + step % 40);
  }
  EXPECT_GE(m_hot.started, 0.1 * 600);
  EXPECT_GE(m_others.started, 0.3 * 600);
}

// Load of many keys without a hot one, as before: no key comes after others.
TEST_F(KeyFairnessTest, KeysWithEvenLoad_NoneIsBehind)
{
  KeyShares shares;
  for (uint32_t key = 0; key < 20; ++key) {
    shares.Add(key);
    EXPECT_FALSE(shares.WouldExceed(key, 6));
  }
}

// Failure case, and bound of the memory: keys are forgotten with their last
// request, however it ends, and requests without a key are never counted.
TEST_F(KeyFairnessTest, RequestsEnd_NothingIsKept)
{
  KeyShares shares;
  for (int request = 0; request < 10; ++request) {
    shares.Add(kHotKey);
    shares.Add(2);
    shares.Add(std::nullopt);
  }
  EXPECT_TRUE(shares.WouldExceed(kHotKey, 6));
  EXPECT_FALSE(shares.WouldExceed(std::nullopt, 6));
  for (int request = 0; request < 10; ++request) {
    shares.Remove(kHotKey);
    shares.Remove(2);
    shares.Remove(std::nullopt);
  }
  EXPECT_EQ(shares.Keys(), 0U);
  EXPECT_FALSE(shares.WouldExceed(kHotKey, 6));
}

}
}
