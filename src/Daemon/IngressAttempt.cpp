#include "src/Daemon/IngressSession.h"

namespace pistachioshift {

// Each callback holds a reference to the session, because the session may close
// this attempt during the call, which drops the attempt's own reference.

void
IngressAttempt::OnHead(const ResponseHead& aHead, const FenceToken& aToken)
{
  if (const auto session = m_session) {
    session->OnHead(aHead, aToken);
  }
}

void
IngressAttempt::OnBody(std::string_view aData)
{
  if (const auto session = m_session) {
    session->OnAnswerBody(aData);
  }
}

void
IngressAttempt::OnEnd()
{
  if (const auto session = m_session) {
    session->OnAnswerEnd();
  }
}

void
IngressAttempt::OnDrained()
{
  if (const auto session = m_session) {
    session->OnAttemptDrained();
  }
}

void
IngressAttempt::OnCredit(int64_t)
{
  if (const auto session = m_session) {
    session->OnAttemptCredit();
  }
}

void
IngressAttempt::OnRefused(const CallRefusal& aRefusal)
{
  if (const auto session = m_session) {
    session->OnRefused(aRefusal);
  }
}

void
IngressAttempt::OnLost(CallLoss aLoss)
{
  if (const auto session = m_session) {
    session->OnLost(aLoss);
  }
}

}
