#include "src/HostDaemon/RangeRouter.h"
#include "test/platform/ServerTaskSupport.h"

namespace pistachioshift::platform::test {

/** Refusals as callers get them. */
class CallerDialectTest : public ServerTaskTest
{
protected:
  ResponseHead Refuse(Outcome aOutcome,
                      RefusalReason aReason,
                      Duration aRetryAfter)
  {
    return m_callers.Refuse({ aOutcome, aReason, aRetryAfter, {} }).head;
  }

  ConfigView m_config{ m_clock, m_logger, [](const OperatorConfig&) {} };
  PeersTask m_peers{ m_base.get(), m_clock, BootId(1), m_logger, m_metrics };
  RangeRouter m_router{ m_clock, m_random, m_state, m_server, m_peers };
  CallerDialect m_callers{
    m_config, kOrders, 0.1, m_random, m_router, m_logger
  };
};

// Guards against a status that promises that a request did not run while its
// outcome says otherwise.
TEST_F(CallerDialectTest, Refuse_AnyReason_PromisesOnlyIfNotRun)
{
  for (size_t index = 0; index < kRefusalReasonCount; ++index) {
    const auto reason = static_cast<RefusalReason>(index);
    for (const auto outcome : { Outcome::kUnknown, Outcome::kDone }) {
      const auto status = Refuse(outcome, reason, {}).status;
      EXPECT_TRUE(status == 502 || status == 504)
        << ToString(reason) << ' ' << ToString(outcome) << ' ' << status;
    }
  }
}

// Guards against callers that come back at once to a server that has told when
// it has room again, only because an earlier attempt may have run.
TEST_F(CallerDialectTest, Refuse_UnknownAfterARefusal_HasRetryAfter)
{
  const auto head = Refuse(
    Outcome::kUnknown, RefusalReason::kQueueFull, std::chrono::seconds(2));
  EXPECT_EQ(head.status, 502);
  const auto* field = head.headers.Find("Retry-After");
  ASSERT_NE(field, nullptr);
  EXPECT_GE(std::stod(*field), 2.0);
  const auto lost = Refuse(Outcome::kUnknown, RefusalReason::kUndecided, {});
  EXPECT_EQ(lost.headers.Find("Retry-After"), nullptr);
}

}
