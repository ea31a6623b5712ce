#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/Ownership/NodeSupport.h"

namespace pistachioshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The target: a key is served again within 1 s of a loss.
constexpr Duration kServedAgain = seconds(1);

/** \brief A formed mesh in which every key is served. */
class TakeoverTest : public ::testing::Test
{
protected:
  static Mesh Settled(size_t aDaemons, uint64_t aSeed)
  {
    MeshOptions options;
    options.seed = aSeed;
    options.daemons = aDaemons;
    Mesh mesh(options);
    mesh.Run(seconds(2));
    return mesh;
  }

  /** \brief Keys of checked fences that a slot serves and others may. */
  static std::vector<AppKey> CheckedKeysOf(const Mesh& aMesh, size_t aSlot)
  {
    std::vector<AppKey> keys;
    for (const auto& key : aMesh.Keys()) {
      const auto* chain = aMesh.Log().FindChain({ key.service, key.range, {} });
      const bool successors = chain->Current().holders.size() > 1;
      const bool served = aMesh.Servers(key) == std::vector{ aSlot };
      if (served && successors && key.service == kRegistry) {
        keys.push_back(key);
      }
    }
    return keys;
  }

  static void ExpectServedAgain(Mesh& aMesh,
                                const std::vector<AppKey>& aKeys,
                                size_t aLost)
  {
    for (const auto& key : aKeys) {
      const auto servers = aMesh.Servers(key);
      RC_ASSERT(servers.size() == 1U);
      RC_ASSERT(servers.front() != aLost);
    }
    RC_ASSERT(!aMesh.Violation());
  }
};

RC_GTEST_FIXTURE_PROP(TakeoverTest, Holder_Killed_IsServedAgainInTime, ())
{
  auto mesh =
    Settled(*rc::gen::inRange<size_t>(4, 9), *rc::gen::arbitrary<uint64_t>());
  mesh.logDown = *rc::gen::arbitrary<bool>();
  mesh.Run(milliseconds(*rc::gen::inRange(0, 400)));
  const auto lost = *rc::gen::inRange<size_t>(0, mesh.Size());
  const auto keys = CheckedKeysOf(mesh, lost);
  mesh.Kill(lost);
  mesh.Run(kServedAgain);
  ExpectServedAgain(mesh, keys, lost);
}

RC_GTEST_FIXTURE_PROP(TakeoverTest, Holder_CutOff_IsServedAgainInTime, ())
{
  auto mesh =
    Settled(*rc::gen::inRange<size_t>(4, 9), *rc::gen::arbitrary<uint64_t>());
  mesh.logDown = *rc::gen::arbitrary<bool>();
  const auto lost = *rc::gen::inRange<size_t>(0, mesh.Size());
  const auto keys = CheckedKeysOf(mesh, lost);
  mesh.Cut({ lost }, *rc::gen::arbitrary<bool>());
  mesh.Run(kServedAgain);
  ExpectServedAgain(mesh, keys, lost);
}

RC_GTEST_FIXTURE_PROP(TakeoverTest, Holder_FrozenThenResumed_ServesNothing, ())
{
  auto mesh =
    Settled(*rc::gen::inRange<size_t>(4, 9), *rc::gen::arbitrary<uint64_t>());
  const auto lost = *rc::gen::inRange<size_t>(0, mesh.Size());
  const auto keys = CheckedKeysOf(mesh, lost);
  mesh.Freeze(lost);
  mesh.Run(milliseconds(*rc::gen::inRange(1000, 5000)));
  ExpectServedAgain(mesh, keys, lost);
  mesh.Resume(lost);
  ExpectServedAgain(mesh, keys, lost);
  mesh.Run(milliseconds(*rc::gen::inRange(0, 500)));
  ExpectServedAgain(mesh, keys, lost);
}

RC_GTEST_FIXTURE_PROP(TakeoverTest, OneLostPath_CostsNoHolder, ())
{
  // One leaseholder and one of its witnesses lose sight of each other.
  auto mesh =
    Settled(*rc::gen::inRange<size_t>(4, 9), *rc::gen::arbitrary<uint64_t>());
  const auto leaseholder = *rc::gen::inRange<size_t>(0, mesh.Size());
  const auto witnesses = mesh.WitnessesOf(leaseholder);
  const auto keys = CheckedKeysOf(mesh, leaseholder);
  mesh.CutPair(leaseholder, *rc::gen::elementOf(witnesses));
  mesh.Run(seconds(4));
  for (const auto& key : keys) {
    RC_ASSERT(mesh.Servers(key) == std::vector{ leaseholder });
  }
}

RC_GTEST_FIXTURE_PROP(TakeoverTest, LogDown_NothingElse_KeepsServing, ())
{
  auto mesh =
    Settled(*rc::gen::inRange<size_t>(4, 9), *rc::gen::arbitrary<uint64_t>());
  mesh.logDown = true;
  mesh.Run(seconds(20));
  RC_ASSERT(mesh.Unserved() == 0U);
}

RC_GTEST_FIXTURE_PROP(TakeoverTest,
                      UncheckedFence_HolderKilled_WaitsThenServes,
                      ())
{
  auto mesh =
    Settled(*rc::gen::inRange<size_t>(4, 9), *rc::gen::arbitrary<uint64_t>());
  const auto lost = *rc::gen::inRange<size_t>(0, mesh.Size());
  mesh.Kill(lost);
  mesh.Run(kServedAgain + kLongestRequest + milliseconds(10));
  for (const auto& key : mesh.Keys()) {
    const auto* chain = mesh.Log().FindChain({ key.service, key.range, {} });
    if (chain->Current().holders.size() > 1) {
      RC_ASSERT(mesh.Servers(key).size() == 1U);
    }
  }
  RC_ASSERT(!mesh.Violation());
}

}
}
