#include "src/Http/internal/ServerConnection.h"

#include <fmt/format.h>

namespace pistachioshift::internal {
namespace {

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

HttpRefusal
RefusalOf(ParseProblem aProblem)
{
  switch (aProblem) {
    case ParseProblem::kAmbiguousLength:
      return HttpRefusal::kAmbiguousLength;
    case ParseProblem::kBadTarget:
      return HttpRefusal::kBadTarget;
    case ParseProblem::kBadMethod:
      return HttpRefusal::kBadMethod;
    case ParseProblem::kBadVersion:
      return HttpRefusal::kBadVersion;
    case ParseProblem::kHeadTooLarge:
      return HttpRefusal::kHeadTooLarge;
    case ParseProblem::kMalformed:
      break;
  }
  return HttpRefusal::kMalformed;
}

int
StatusOf(HttpRefusal aRefusal)
{
  switch (aRefusal) {
    case HttpRefusal::kBadMethod:
      return 501;
    case HttpRefusal::kBadVersion:
      return 505;
    case HttpRefusal::kHeadTooLarge:
      return 431;
    case HttpRefusal::kHeadTimeout:
      return 408;
    case HttpRefusal::kUnsendableAnswer:
    case HttpRefusal::kInternalError:
      return 502;
    default:
      return 400;
  }
}

}

ServerConnection::ServerConnection(std::shared_ptr<ServerCore> aCore,
                                   evutil_socket_t aSocket)
  : m_core(std::move(aCore))
  , m_limits(m_core->Limits())
  , m_stream(std::make_unique<Stream>(
      m_core->Base(),
      aSocket,
      StreamBounds{ m_limits.inputHighWatermark, m_limits.outputLowWatermark },
      *this))
  , m_parser(MessageKind::kRequest,
             { m_limits.maxHeadBytes, m_limits.maxHeaders })
{
  m_stream->SetWriteTimeout(m_limits.writeTimeout);
  UpdateTimer();
}

void
ServerConnection::CloseIfIdle()
{
  // A request that waits in the socket is still served.
  if (m_state != State::kHead || m_headBegun || m_stream->HasUnreadBytes()) {
    return;
  }
  if (m_served) {
    Close(AbortReason::kShutdown);
  } else {
    // The first request of a new connection may be on its way.
    UpdateTimer();
  }
}

void
ServerConnection::Close(AbortReason aReason)
{
  if (m_state == State::kClosed) {
    return;
  }
  auto self = shared_from_this();
  m_state = State::kClosed;
  if (!m_exchange && m_stream->OutputBytes() == 0) {
    m_stream->SetResetOnClose(false); // The answer is whole and written.
  }
  m_stream.reset();
  m_core->Forget(self);
  AbortExchange(aReason);
}

void
ServerConnection::AbortExchange(AbortReason aReason)
{
  if (!m_exchange) {
    return;
  }
  std::shared_ptr<ServerListener> listener = m_exchange->m_listener;
  EndExchange();
  if (listener) {
    listener->OnAborted(aReason);
  }
}

void
ServerConnection::EndExchange()
{
  m_exchange->m_connection.reset();
  m_exchange->m_listener.reset();
  m_exchange.reset();
  m_core->ExchangeEnded();
}

bool
ServerConnection::WantsInput() const
{
  switch (m_state) {
    case State::kHead:
    case State::kDiscarding:
    case State::kFlushing:
    case State::kLingering:
      return true;
    case State::kExchange:
      return m_exchange->m_listener && !m_bodyPaused && !m_bodyEnded;
    case State::kClosed:
      break;
  }
  return false;
}

void
ServerConnection::OnReadable()
{
  if (m_reading) {
    return;
  }
  Contain([this] { ReadAll(); });
}

template<class Action>
void
ServerConnection::Contain(Action aAction)
{
  auto self = shared_from_this();
  if (!m_core->ContainsErrors()) {
    aAction();
    return;
  }
  try {
    aAction();
  } catch (const std::exception& error) {
    m_reading = false;
    m_core->ReportError(error.what(),
                        m_exchange ? &m_exchange->Head() : nullptr);
    FailExchange(AbortReason::kInternalError, HttpRefusal::kInternalError);
  }
}

/** Ends the exchange with an answer if none has begun, else by closing the
 * connection, so that a part of an answer is not taken for a whole one. */
void
ServerConnection::FailExchange(AbortReason aReason, HttpRefusal aRefusal)
{
  auto self = shared_from_this();
  if (m_state == State::kExchange && !m_headSent) {
    AbortExchange(aReason);
    Refuse(aRefusal);
  } else {
    Close(aReason);
  }
}

void
ServerConnection::ReadAll()
{
  m_reading = true;
  while (WantsInput() && ReadOnce()) {
  }
  m_reading = false;
  if (m_state != State::kClosed) {
    m_stream->HoldWhenFull();
  }
  UpdateTimer();
}

bool
ServerConnection::ReadOnce()
{
  std::string_view front = m_stream->Front();
  if (front.empty()) {
    return false;
  }
  if (m_state == State::kFlushing || m_state == State::kLingering) {
    m_stream->Drain(front.size());
    return true;
  }
  ParseStep step = m_parser.Step(front);
  m_headBegun = true;
  HandleStep(step);
  if (m_state != State::kClosed) {
    m_stream->Drain(step.consumed);
  }
  return true;
}

void
ServerConnection::HandleStep(const ParseStep& aStep)
{
  switch (aStep.event) {
    case ParseEvent::kNeedMore:
      return;
    case ParseEvent::kHead:
      HandleHead();
      return;
    case ParseEvent::kBody:
      HandleBody(aStep.body);
      return;
    case ParseEvent::kEnd:
      HandleBodyEnd();
      return;
    case ParseEvent::kError:
      HandleProblem();
      return;
  }
}

void
ServerConnection::HandleHead()
{
  // A request that has waited long in the socket may come with its caller's
  // close, of which the event loop would tell only after the request has begun.
  if (m_stream->PeerHasClosed()) {
    Close(AbortReason::kPeerClosed);
    return;
  }
  RequestHead head = m_parser.TakeRequestHead();
  m_state = State::kExchange;
  m_bodyPaused = false;
  m_bodyEnded = false;
  m_headSent = false;
  m_outputFull = false;
  m_discarded = 0;
  m_keepAlive = m_parser.KeepAlive();
  m_headRequest = head.method == "HEAD";
  m_expectsContinue = head.headers.HasToken("Expect", "100-continue");
  head.headers.Remove("Expect");
  m_exchange =
    std::make_shared<ServerExchange>(shared_from_this(), std::move(head));
  m_core->Handle(m_exchange);
}

void
ServerConnection::HandleBody(std::string_view aData)
{
  if (m_state == State::kExchange) {
    std::shared_ptr<ServerListener> listener = m_exchange->m_listener;
    listener->OnBody(aData);
    return;
  }
  m_discarded += aData.size();
  if (m_discarded > m_limits.maxDiscardBytes) {
    FlushAndClose();
  }
}

void
ServerConnection::HandleBodyEnd()
{
  m_bodyEnded = true;
  if (m_state == State::kExchange) {
    std::shared_ptr<ServerListener> listener = m_exchange->m_listener;
    listener->OnBodyEnd();
    return;
  }
  NextRequest();
}

void
ServerConnection::HandleProblem()
{
  if (m_state == State::kHead) {
    Refuse(RefusalOf(m_parser.Problem()));
    return;
  }
  if (m_state == State::kExchange && !m_headSent) {
    AbortExchange(AbortReason::kMalformedBody);
    Refuse(HttpRefusal::kMalformed);
    return;
  }
  Close(AbortReason::kMalformedBody);
}

void
ServerConnection::Refuse(HttpRefusal aRefusal)
{
  m_core->CountRefusal(aRefusal);
  std::string text = fmt::format("{}\n", ToString(aRefusal));
  ResponseHead head{ .status = StatusOf(aRefusal),
                     .headers = { { "Content-Type", "text/plain" } },
                     .contentLength = text.size() };
  text.insert(0,
              WriteResponseHead(head, Framing::kLength, Persistence::kClose));
  evbuffer_add(m_stream->Output(), text.data(), text.size());
  FlushAndClose();
}

void
ServerConnection::NextRequest()
{
  m_parser.Reset();
  m_headBegun = false;
  m_headTimed = false;
  m_served = true;
  m_state = State::kHead;
  // An answer that was begun before the server stopped did not announce the end
  // of the connection, so another request may be on its way.
  if (!m_keepAlive) {
    FlushAndClose();
    return;
  }
  m_stream->ScheduleRead(); // A pipelined request may be there already.
  UpdateTimer();
}

void
ServerConnection::FlushAndClose()
{
  m_state = State::kFlushing;
  m_stream->NotifyWhenEmpty();
  if (m_stream->OutputBytes() == 0) {
    Linger();
  }
  UpdateTimer();
}

void
ServerConnection::Linger()
{
  // A close with input unread would reset the connection, and the caller
  // could lose the answer.
  m_state = State::kLingering;
  m_stream->SetResetOnClose(false);
  m_stream->ShutdownWrite();
  m_stream->StartTimer(m_limits.lingerTimeout);
  m_stream->ScheduleRead();
}

void
ServerConnection::OnWritable()
{
  auto self = shared_from_this();
  if (m_state == State::kFlushing) {
    Linger();
    return;
  }
  if (m_state == State::kExchange && m_outputFull) {
    m_outputFull = false;
    if (std::shared_ptr<ServerListener> listener = m_exchange->m_listener) {
      Contain([&] { listener->OnDrained(); });
    }
  }
}

void
ServerConnection::OnStreamEnd(StreamEnd aEnd)
{
  Close(aEnd == StreamEnd::kWriteStalled ? AbortReason::kTimeout
                                         : AbortReason::kPeerClosed);
}

void
ServerConnection::OnTimer()
{
  auto self = shared_from_this();
  if (m_state == State::kHead && m_headBegun) {
    Refuse(HttpRefusal::kHeadTimeout);
    return;
  }
  if (m_state == State::kExchange && AnswersBodyTimeout()) {
    FlushAndClose();
    return;
  }
  Close(AbortReason::kTimeout);
}

bool
ServerConnection::AnswersBodyTimeout()
{
  const std::shared_ptr<ServerListener> listener = m_exchange->m_listener;
  if (m_headSent || !listener) {
    return false;
  }
  m_keepAlive = false;
  listener->OnBodyTimeout();
  return m_state == State::kDiscarding;
}

void
ServerConnection::UpdateTimer()
{
  switch (m_state) {
    case State::kHead:
      if (!m_headBegun) {
        m_stream->StartTimer(m_core->Accepting() ? m_limits.idleTimeout
                                                 : m_limits.lingerTimeout);
      } else if (!m_headTimed) {
        m_headTimed = true;
        m_stream->StartTimer(m_limits.headTimeout);
      }
      return;
    case State::kExchange:
      if (WantsInput()) {
        m_stream->StartTimer(m_limits.bodyTimeout);
      } else {
        m_stream->StopTimer();
      }
      return;
    case State::kDiscarding:
      m_stream->StartTimer(m_limits.bodyTimeout);
      return;
    case State::kFlushing: // The write timeout holds.
      m_stream->StopTimer();
      return;
    case State::kLingering: // Set once.
    case State::kClosed:
      return;
  }
}

void
ServerConnection::BodyWanted()
{
  if (m_bodyPaused) {
    return; // ResumeBody() asks the caller to continue.
  }
  if (m_expectsContinue && !m_headSent) {
    m_expectsContinue = false;
    evbuffer_add(m_stream->Output(), kContinue.data(), kContinue.size());
  }
  m_stream->ScheduleRead();
}

void
ServerConnection::PauseBody()
{
  m_bodyPaused = true;
  UpdateTimer();
}

void
ServerConnection::ResumeBody()
{
  m_bodyPaused = false;
  if (m_exchange && m_exchange->m_listener) {
    BodyWanted();
  } else {
    m_stream->ScheduleRead();
  }
}

}
