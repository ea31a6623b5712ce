#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/Ownership/NodeSupport.h"

namespace pistachioshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** \brief All keys are served again once the faults are over. */
class RecoveryTest : public ::testing::Test
{
protected:
  /** \brief Runs while a planner assigns keys without holders every second. */
  static void RunWithPlanner(Mesh& aMesh, Duration aFor)
  {
    for (Duration run{}; run < aFor; run += seconds(1)) {
      aMesh.Run(seconds(1));
      aMesh.AssignUnheld();
    }
  }

  static Mesh DrawMesh(size_t aLeast, size_t aMost, bool aFormed = true)
  {
    MeshOptions options;
    options.seed = *rc::gen::arbitrary<uint64_t>();
    options.daemons = *rc::gen::inRange<size_t>(aLeast, aMost + 1);
    options.zones = *rc::gen::inRange<size_t>(1, 5);
    options.formed = aFormed;
    return Mesh(options);
  }
};

RC_GTEST_FIXTURE_PROP(RecoveryTest, Mesh_Empty_ServesAll, ())
{
  auto mesh = DrawMesh(1, 7, false);
  RunWithPlanner(mesh, seconds(8));
  RC_ASSERT(mesh.CountUnserved() == 0U);
}

RC_GTEST_FIXTURE_PROP(RecoveryTest, AllFrozen_Resumed_ServesAll, ())
{
  auto mesh = DrawMesh(1, 7);
  mesh.Run(seconds(2));
  for (size_t slot = 0; slot < mesh.Size(); ++slot) {
    mesh.Freeze(slot);
  }
  mesh.Run(milliseconds(*rc::gen::inRange(100, 5000)));
  mesh.Heal();
  RunWithPlanner(mesh, seconds(10));
  RC_ASSERT(mesh.CountUnserved() == 0U);
  RC_ASSERT(!mesh.Violation());
}

RC_GTEST_FIXTURE_PROP(RecoveryTest, AllRestarted_NamingPrevious_ServeAll, ())
{
  auto mesh = DrawMesh(1, 7);
  mesh.Run(seconds(2));
  for (size_t slot = 0; slot < mesh.Size(); ++slot) {
    mesh.Kill(slot);
    mesh.Start(slot, true);
  }
  RunWithPlanner(mesh, seconds(10));
  RC_ASSERT(mesh.CountUnserved() == 0U);
  RC_ASSERT(!mesh.Violation());
}

RC_GTEST_FIXTURE_PROP(RecoveryTest,
                      WitnessesKilled_ForGood_RetiresLeaseholder,
                      ())
{
  // With two of its witnesses gone, the leaseholder can't be sealed.
  auto mesh = DrawMesh(8, 10);
  mesh.Run(seconds(2));
  const auto leaseholder = *rc::gen::inRange<size_t>(0, mesh.Size());
  const auto witnesses = mesh.WitnessesOf(leaseholder);
  mesh.Kill(witnesses[0]);
  mesh.Kill(witnesses[1]);
  mesh.Kill(leaseholder);
  RunWithPlanner(mesh, seconds(20));
  // If a witness of one of these witnesses was lost too, removal waits for an
  // operator's attestation.
  const bool removed = mesh.Log().Members().size() <= mesh.Size() - 3;
  RC_ASSERT(!removed || mesh.CountUnserved() == 0U);
  RC_TAG(removed ? "all removed" : "an operator must attest");
  mesh.AttestStopped();
  RunWithPlanner(mesh, seconds(8));
  RC_ASSERT(mesh.CountUnserved() == 0U);
  RC_ASSERT(!mesh.Violation());
}

RC_GTEST_FIXTURE_PROP(RecoveryTest, Faults_Healed_ServesAll, ())
{
  auto mesh = DrawMesh(4, 7);
  mesh.Run(milliseconds(500));
  for (int step = 0; step < 6; ++step) {
    const auto slot = *rc::gen::inRange<size_t>(0, mesh.Size());
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        mesh.Freeze(slot);
        break;
      case 1:
        mesh.Partition({ slot }, *rc::gen::arbitrary<bool>());
        break;
      case 2:
        mesh.MoveSome();
        break;
      case 3:
        mesh.logDown = !mesh.logDown;
        break;
      default:
        mesh.PinSome();
        break;
    }
    mesh.Run(milliseconds(*rc::gen::inRange(0, 1500)));
  }
  mesh.Heal();
  RunWithPlanner(mesh, seconds(20));
  RC_ASSERT(mesh.CountUnserved() == 0U);
  RC_ASSERT(!mesh.Violation());
}

RC_GTEST_FIXTURE_PROP(RecoveryTest, ZoneLost_OfThree_KeysServedAgain, ())
{
  MeshOptions options;
  options.seed = *rc::gen::arbitrary<uint64_t>();
  options.daemons = 9;
  Mesh mesh(options);
  mesh.Run(seconds(2));
  for (size_t slot = 0; slot < mesh.Size(); slot += 3) {
    mesh.Kill(slot);
  }
  RunWithPlanner(mesh, seconds(8));
  RC_ASSERT(mesh.CountUnserved() == 0U);
  RC_ASSERT(!mesh.Violation());
}

}
}
