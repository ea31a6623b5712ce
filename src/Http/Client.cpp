#include "src/Http/Client.h"

#include <utility>

#include "src/Http/internal/ClientConnection.h"
#include "src/Http/internal/ClientCore.h"
#include "src/Http/internal/ClientState.h"

namespace pistachioshift {

std::string_view
ToString(ClientFailure aFailure)
{
  switch (aFailure) {
    case ClientFailure::kConnectRefused:
      return "connect-refused";
    case ClientFailure::kConnectTimeout:
      return "connect-timeout";
    case ClientFailure::kNotWritten:
      return "not-written";
    case ClientFailure::kPoolExhausted:
      return "pool-exhausted";
    case ClientFailure::kClosedBeforeAnswer:
      return "closed-before-answer";
    case ClientFailure::kTruncatedAnswer:
      return "truncated-answer";
    case ClientFailure::kMalformedAnswer:
      return "malformed-answer";
    case ClientFailure::kAnswerTooLarge:
      return "answer-too-large";
    case ClientFailure::kTimeout:
      return "timeout";
    case ClientFailure::kUnsendable:
      return "unsendable";
    case ClientFailure::kBodyTooLong:
      return "body-too-long";
    case ClientFailure::kInternalError:
      return "internal-error";
  }
  return "unknown";
}

bool
MayHaveRun(ClientFailure aFailure)
{
  switch (aFailure) {
    case ClientFailure::kConnectRefused:
    case ClientFailure::kConnectTimeout:
    case ClientFailure::kNotWritten:
    case ClientFailure::kPoolExhausted:
    case ClientFailure::kUnsendable:
      return false;
    case ClientFailure::kClosedBeforeAnswer:
    case ClientFailure::kTruncatedAnswer:
    case ClientFailure::kMalformedAnswer:
    case ClientFailure::kAnswerTooLarge:
    case ClientFailure::kTimeout:
    case ClientFailure::kBodyTooLong:
    case ClientFailure::kInternalError:
      return true;
  }
  return true;
}

ClientExchange::ClientExchange(std::unique_ptr<internal::ClientState> aState)
  : m_state(std::move(aState))
{
}

ClientExchange::~ClientExchange() = default;

bool
ClientExchange::Ended() const
{
  return !m_state->listener;
}

bool
ClientExchange::Written() const
{
  return m_state->written;
}

size_t
ClientExchange::BufferedBytes() const
{
  if (Ended()) {
    return 0;
  }
  return m_state->connection ? m_state->connection->OutputBytes()
                             : evbuffer_get_length(m_state->pending.get());
}

bool
ClientExchange::SendBody(std::string_view aData)
{
  if (Ended() || m_state->rejected) {
    return true;
  }
  auto& connection = m_state->connection;
  evbuffer* output = connection ? connection->Output() : m_state->pending.get();
  if (!m_state->body.Write(output, aData)) {
    Reject(ClientFailure::kBodyTooLong);
    return true;
  }
  // Stays set until OnDrained, although a later part may fit again.
  m_state->outputFull =
    m_state->outputFull || BufferedBytes() > m_state->outputHighWatermark;
  return !m_state->outputFull;
}

void
ClientExchange::Finish()
{
  if (Ended() || m_state->finished || m_state->rejected) {
    return;
  }
  auto& connection = m_state->connection;
  evbuffer* output = connection ? connection->Output() : m_state->pending.get();
  if (!m_state->body.Finish(output)) {
    Cancel();
    return;
  }
  m_state->finished = true;
}

void
ClientExchange::Reject(ClientFailure aFailure)
{
  m_state->rejected = true;
  const auto self = shared_from_this();
  const auto core = m_state->core.lock();
  if (!core) {
    return;
  }
  core->Withdraw(*this);
  if (const auto connection = std::exchange(m_state->connection, nullptr)) {
    auto listener = std::move(m_state->listener);
    connection->Close();
    m_state->listener = std::move(listener);
  }
  core->Reject(self, aFailure);
}

void
ClientExchange::PauseBody()
{
  if (!Ended()) {
    m_state->paused = true;
    if (m_state->connection) {
      m_state->connection->UpdateTimer();
    }
  }
}

void
ClientExchange::ResumeBody()
{
  if (!Ended()) {
    m_state->paused = false;
    if (m_state->connection) {
      m_state->connection->ScheduleRead();
    }
  }
}

void
ClientExchange::Cancel()
{
  if (Ended()) {
    return;
  }
  auto self = shared_from_this();
  auto connection = m_state->connection;
  auto listener = m_state->End();
  if (connection) {
    connection->Close();
  } else if (auto core = m_state->core.lock()) {
    core->Withdraw(*this);
  }
}

HttpClientPool::HttpClientPool(event_base* aBase,
                               const Endpoint& aEndpoint,
                               const HttpClientLimits& aLimits)
  : m_core(std::make_shared<internal::ClientCore>(aBase, aEndpoint, aLimits))
{
  internal::IgnoreBrokenPipe();
}

HttpClientPool::~HttpClientPool()
{
  m_core->CloseAll();
}

std::shared_ptr<ClientExchange>
HttpClientPool::Start(const RequestHead& aHead,
                      std::shared_ptr<ClientListener> aListener,
                      BeforeWrite aBeforeWrite)
{
  return m_core->Start(aHead, std::move(aListener), std::move(aBeforeWrite));
}

void
HttpClientPool::SetErrorHandler(ErrorHandler aHandler)
{
  m_core->SetErrorHandler(std::move(aHandler));
}

size_t
HttpClientPool::Connections() const
{
  return m_core->Connections();
}

size_t
HttpClientPool::IdleConnections() const
{
  return m_core->IdleConnections();
}

}
