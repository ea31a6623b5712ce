#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/Ownership/NodeSupport.h"

namespace pistachioshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// After the loss of a holder, its keys must be served again within 1 s.
constexpr Duration kTakeoverTarget = seconds(1);

/** \brief Time until keys are served again after a fault. */
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

  /** \brief Keys with checked fences that a slot serves and that have
   * successors. */
  static std::vector<AppKey> FencedKeysOf(const Mesh& aMesh, size_t aSlot)
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

RC_GTEST_FIXTURE_PROP(TakeoverTest, Holder_Killed_KeysServedAgainInTime, ())
{
  auto mesh =
    Settled(*rc::gen::inRange<size_t>(4, 9), *rc::gen::arbitrary<uint64_t>());
  mesh.logDown = *rc::gen::arbitrary<bool>();
  mesh.Run(milliseconds(*rc::gen::inRange(0, 400)));
  const auto lost = *rc::gen::inRange<size_t>(0, mesh.Size());
  const auto keys = FencedKeysOf(mesh, lost);
  mesh.Kill(lost);
  mesh.Run(kTakeoverTarget);
  ExpectServedAgain(mesh, keys, lost);
}

RC_GTEST_FIXTURE_PROP(TakeoverTest, Holder_CutOff_KeysServedAgainInTime, ())
{
  auto mesh =
    Settled(*rc::gen::inRange<size_t>(4, 9), *rc::gen::arbitrary<uint64_t>());
  mesh.logDown = *rc::gen::arbitrary<bool>();
  const auto lost = *rc::gen::inRange<size_t>(0, mesh.Size());
  const auto keys = FencedKeysOf(mesh, lost);
  mesh.Partition({ lost }, *rc::gen::arbitrary<bool>());
  mesh.Run(kTakeoverTarget);
  ExpectServedAgain(mesh, keys, lost);
}

RC_GTEST_FIXTURE_PROP(TakeoverTest, Holder_FrozenThenResumed_ServesNothing, ())
{
  auto mesh =
    Settled(*rc::gen::inRange<size_t>(4, 9), *rc::gen::arbitrary<uint64_t>());
  const auto lost = *rc::gen::inRange<size_t>(0, mesh.Size());
  const auto keys = FencedKeysOf(mesh, lost);
  mesh.Freeze(lost);
  mesh.Run(milliseconds(*rc::gen::inRange(1000, 5000)));
  ExpectServedAgain(mesh, keys, lost);
  mesh.Resume(lost);
  ExpectServedAgain(mesh, keys, lost);
  mesh.Run(milliseconds(*rc::gen::inRange(0, 500)));
  ExpectServedAgain(mesh, keys, lost);
}

RC_GTEST_FIXTURE_PROP(TakeoverTest, WitnessLink_Lost_KeepsHolder, ())
{
  // A leaseholder and one of its witnesses lose their connection.
  auto mesh =
    Settled(*rc::gen::inRange<size_t>(4, 9), *rc::gen::arbitrary<uint64_t>());
  const auto leaseholder = *rc::gen::inRange<size_t>(0, mesh.Size());
  const auto witnesses = mesh.WitnessesOf(leaseholder);
  const auto keys = FencedKeysOf(mesh, leaseholder);
  mesh.CutPair(leaseholder, *rc::gen::elementOf(witnesses));
  mesh.Run(seconds(4));
  for (const auto& key : keys) {
    RC_ASSERT(mesh.Servers(key) == std::vector{ leaseholder });
  }
}

RC_GTEST_FIXTURE_PROP(TakeoverTest, Mesh_LogDown_KeepsServing, ())
{
  auto mesh =
    Settled(*rc::gen::inRange<size_t>(4, 9), *rc::gen::arbitrary<uint64_t>());
  mesh.logDown = true;
  mesh.Run(seconds(20));
  RC_ASSERT(mesh.CountUnserved() == 0U);
}

RC_GTEST_FIXTURE_PROP(TakeoverTest,
                      UncheckedFence_HolderKilled_WaitsThenServes,
                      ())
{
  auto mesh =
    Settled(*rc::gen::inRange<size_t>(4, 9), *rc::gen::arbitrary<uint64_t>());
  const auto lost = *rc::gen::inRange<size_t>(0, mesh.Size());
  mesh.Kill(lost);
  mesh.Run(kTakeoverTarget + kLongestRequest + milliseconds(10));
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
