#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/Ownership/NodeSupport.h"

namespace pistachioshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** \brief Planned leaves (R7). */
class LeaveTest : public ::testing::Test
{
protected:
  static Mesh Settled()
  {
    MeshOptions options;
    options.seed = *rc::gen::arbitrary<uint64_t>();
    options.daemons = *rc::gen::inRange<size_t>(4, 9);
    Mesh mesh(options);
    mesh.Run(seconds(2));
    return mesh;
  }

  static bool HasSuccessor(const Mesh& aMesh, const AppKey& aKey)
  {
    const auto* chain = aMesh.Log().FindChain({ aKey.service, aKey.range, {} });
    return chain->Current().holders.size() > 1;
  }
};

RC_GTEST_FIXTURE_PROP(LeaveTest, Leave_LogUp_HandsOverAndEnds, ())
{
  auto mesh = Settled();
  const auto slot = *rc::gen::inRange<size_t>(0, mesh.Size());
  mesh.Leave(slot);
  // New requests stop after 2 s (leaveTimeout); running ones may take longer.
  mesh.Run(seconds(2) + milliseconds(100));
  for (const auto& key : mesh.Keys()) {
    const auto servers = mesh.Servers(key);
    RC_ASSERT(std::ranges::count(servers, slot) == 0);
    RC_ASSERT(!HasSuccessor(mesh, key) || servers.size() == 1U);
  }
  mesh.Run(seconds(8));
  RC_ASSERT(!mesh.IsUp(slot));
  RC_ASSERT(mesh.AbortedRequests() == 0U);
  RC_ASSERT(!mesh.Violation());
}

RC_GTEST_FIXTURE_PROP(LeaveTest, Leave_LogDown_EndsWithoutCuttingRequests, ())
{
  auto mesh = Settled();
  const auto slot = *rc::gen::inRange<size_t>(0, mesh.Size());
  mesh.logDown = true;
  mesh.Leave(slot);
  mesh.Run(seconds(10));
  RC_ASSERT(mesh.NodeOf(slot).Left());
  RC_ASSERT(mesh.NodeOf(slot).Held().empty());
  RC_ASSERT(mesh.AbortedRequests() == 0U);
  for (const auto& key : mesh.Keys()) {
    RC_ASSERT(!HasSuccessor(mesh, key) || mesh.Servers(key).size() == 1U);
  }
  RC_ASSERT(!mesh.Violation());
}

RC_GTEST_FIXTURE_PROP(LeaveTest, Leave_Witness_KeepsItsLeaseholdersServing, ())
{
  auto mesh = Settled();
  const auto slot = *rc::gen::inRange<size_t>(0, mesh.Size());
  std::map<AppKey, std::vector<size_t>> before;
  for (const auto& key : mesh.Keys()) {
    before[key] = mesh.Servers(key);
  }
  mesh.Leave(slot);
  for (int step = 0; step < 100; ++step) {
    mesh.Run(milliseconds(100));
    for (const auto& [key, servers] : before) {
      RC_ASSERT(servers == std::vector{ slot } || mesh.Servers(key) == servers);
    }
  }
}

RC_GTEST_FIXTURE_PROP(LeaveTest, Leave_AllButTwoInTurn_KeepsServing, ())
{
  auto mesh = Settled();
  for (size_t slot = 2; slot < mesh.Size(); ++slot) {
    mesh.Leave(slot);
    mesh.Run(seconds(6));
    mesh.AssignUnheld();
  }
  mesh.Run(seconds(10));
  mesh.AssignUnheld();
  mesh.Run(seconds(2));
  RC_ASSERT(mesh.CountUnserved() == 0U);
  RC_ASSERT(mesh.AbortedRequests() == 0U);
  RC_ASSERT(!mesh.Violation());
}

}
}
