#include "src/Http/internal/ClientConnection.h"

#include "src/Http/internal/ClientState.h"

namespace pistachioshift::internal {
namespace {

constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;

}

ClientConnection::ClientConnection(std::shared_ptr<ClientCore> aCore)
  : m_core(std::move(aCore))
  , m_limits(m_core->Limits())
  , m_stream(std::make_unique<Stream>(
      m_core->Base(),
      -1,
      StreamBounds{ m_limits.inputHighWatermark, m_limits.outputLowWatermark },
      *this))
  , m_answerTimer(event_new(m_core->Base(), -1, 0, HandleAnswerTimeout, this))
  , m_parser(MessageKind::kResponse,
             { m_limits.maxHeadBytes, m_limits.maxHeaders })
{
}

ClientState&
ClientConnection::Current() const
{
  return *m_exchange->m_state;
}

bool
ClientConnection::Connect()
{
  m_stream->StartTimer(m_limits.connectTimeout);
  return m_stream->Connect(m_core->Remote());
}

void
ClientConnection::OnConnected()
{
  auto self = shared_from_this();
  m_state = State::kIdle;
  if (m_limits.probeInterval.count() > 0) {
    m_stream->SetProbes(m_limits.probeInterval);
  }
  UpdateTimer();
  m_core->Connected(self);
}

bool
ClientConnection::IsUsable() const
{
  return m_state == State::kIdle && m_stream->IsQuiet();
}

WriteResult
ClientConnection::Write(const std::shared_ptr<ClientExchange>& aExchange)
{
  ClientState& state = *aExchange->m_state;
  evbuffer* request = state.pending.get();
  evbuffer_prepend(request, state.head.data(), state.head.size());
  // The check and the write stay next to each other: nothing of the request
  // leaves this process later than the moment the check held.
  if (state.beforeWrite && !state.beforeWrite()) {
    return WriteResult::kRefused;
  }
  bool cancelled = !state.listener || m_state != State::kIdle;
  if (cancelled) {
    return WriteResult::kRefused;
  }
  if (evbuffer_write(request, m_stream->Socket()) <= 0) {
    evbuffer_drain(request, state.head.size());
    return WriteResult::kDead;
  }
  state.written = true;
  evbuffer_add_buffer(m_stream->Output(), request);
  if (state.outputFull) {
    m_stream->ScheduleWritable();
  }
  m_fresh = false;
  m_exchange = aExchange;
  state.connection = shared_from_this();
  m_state = State::kBusy;
  m_headSeen = false;
  m_interim = false;
  m_interimAnswers = 0;
  m_parser.Reset(state.isHead);
  if (m_limits.answerTimeout > Duration::zero()) {
    const timeval timeout = ToTimeval(m_limits.answerTimeout);
    event_add(m_answerTimer.get(), &timeout);
  }
  UpdateTimer();
  return WriteResult::kWritten;
}

void
ClientConnection::Close()
{
  if (m_state == State::kClosed) {
    return;
  }
  auto self = shared_from_this();
  m_state = State::kClosed;
  m_stream.reset();
  if (m_exchange) {
    EndExchange();
  }
  m_core->Forget(self);
}

std::shared_ptr<ClientListener>
ClientConnection::EndExchange()
{
  auto exchange = std::move(m_exchange);
  m_exchange.reset();
  event_del(m_answerTimer.get());
  return exchange->m_state->End();
}

void
ClientConnection::Fail(ClientFailure aFailure)
{
  auto self = shared_from_this();
  std::shared_ptr<ClientListener> listener = EndExchange();
  Close();
  listener->OnFailed(aFailure);
}

template<class Action>
void
ClientConnection::Contain(Action aAction)
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
    m_core->ReportError(error.what());
    if (m_exchange) {
      Fail(ClientFailure::kInternalError);
    }
  }
}

bool
ClientConnection::WantsInput() const
{
  return m_state == State::kBusy && !Current().paused;
}

void
ClientConnection::OnReadable()
{
  if (m_reading) {
    return;
  }
  if (m_state == State::kIdle && m_stream->InputBytes() > 0) {
    Close(); // An answer that nobody asked for.
    return;
  }
  Contain([this] { ReadAll(); });
}

void
ClientConnection::ReadAll()
{
  m_reading = true;
  while (WantsInput() && ReadOnce()) {
  }
  m_reading = false;
  if (m_end && WantsInput()) {
    HandleEof();
  }
  if (m_state != State::kClosed) {
    m_stream->HoldWhenFull();
  }
  UpdateTimer();
}

bool
ClientConnection::ReadOnce()
{
  std::string_view front = m_stream->Front();
  if (front.empty()) {
    return false;
  }
  ParseStep step = m_parser.Step(front);
  size_t consumed = step.consumed;
  if (step.event == ParseEvent::kEnd) {
    m_stream->Drain(consumed); // What is left decides on reuse.
    consumed = 0;
  }
  HandleStep(step);
  if (m_state != State::kClosed) {
    m_stream->Drain(consumed);
  }
  return true;
}

void
ClientConnection::HandleStep(const ParseStep& aStep)
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
      HandleEnd();
      return;
    case ParseEvent::kError:
      Fail(ClientFailure::kMalformedAnswer);
      return;
  }
}

void
ClientConnection::HandleHead()
{
  ResponseHead head = m_parser.TakeResponseHead();
  if (head.status == kSwitchingProtocols) {
    Fail(ClientFailure::kMalformedAnswer);
    return;
  }
  m_interim = head.status < kFirstFinalStatus;
  if (m_interim) {
    if (++m_interimAnswers > m_limits.maxInterimAnswers) {
      Fail(ClientFailure::kMalformedAnswer);
    }
    return;
  }
  m_bodyBytesLeft = head.contentLength ? m_limits.maxBodyBytes
                                       : m_limits.maxUndeclaredBodyBytes;
  if (head.contentLength.value_or(0) > m_bodyBytesLeft) {
    Fail(ClientFailure::kAnswerTooLarge);
    return;
  }
  m_headSeen = true;
  std::shared_ptr<ClientListener> listener = Current().listener;
  listener->OnHead(head);
}

void
ClientConnection::HandleBody(std::string_view aData)
{
  if (aData.size() > m_bodyBytesLeft) {
    Fail(ClientFailure::kAnswerTooLarge);
    return;
  }
  m_bodyBytesLeft -= aData.size();
  std::shared_ptr<ClientListener> listener = Current().listener;
  listener->OnBody(aData);
}

void
ClientConnection::HandleEnd()
{
  if (m_interim) {
    m_parser.Reset(Current().isHead);
    return;
  }
  auto self = shared_from_this();
  bool reusable = m_parser.KeepAlive() && Current().finished && !m_end &&
                  m_stream->OutputBytes() == 0 && m_stream->InputBytes() == 0;
  std::shared_ptr<ClientListener> listener = EndExchange();
  if (reusable) {
    m_state = State::kIdle;
    m_core->BecameIdle(self);
  } else {
    Close();
  }
  listener->OnEnd();
}

void
ClientConnection::HandleEof()
{
  if (!m_headSeen) {
    Fail(ClientFailure::kClosedBeforeAnswer);
    return;
  }
  bool complete =
    m_end == StreamEnd::kEof && m_parser.StepEof().event == ParseEvent::kEnd;
  if (complete) {
    HandleEnd();
  } else {
    Fail(ClientFailure::kTruncatedAnswer);
  }
}

void
ClientConnection::OnWritable()
{
  if (m_state != State::kBusy) {
    return;
  }
  UpdateTimer();
  if (Current().outputFull) {
    Current().outputFull = false;
    std::shared_ptr<ClientListener> listener = Current().listener;
    Contain([&] { listener->OnDrained(); });
  }
}

void
ClientConnection::OnStreamEnd(StreamEnd aEnd)
{
  auto self = shared_from_this();
  if (m_state == State::kConnecting) {
    auto core = m_core;
    Close();
    core->ConnectFailed(ClientFailure::kConnectRefused);
    return;
  }
  if (m_state == State::kIdle) {
    auto core = m_core;
    Close();
    if (m_fresh) {
      core->FailFirst(ClientFailure::kNotWritten);
    }
    return;
  }
  if (aEnd == StreamEnd::kWriteFailed) {
    // The answer may still be on its way: a server may refuse a body early.
    return;
  }
  m_end = aEnd;
  OnReadable();
}

void
ClientConnection::OnTimer()
{
  auto self = shared_from_this();
  if (m_state == State::kConnecting) {
    auto core = m_core;
    Close();
    core->ConnectFailed(ClientFailure::kConnectTimeout);
  } else if (m_state == State::kIdle) {
    Close();
  } else if (m_state == State::kBusy) {
    Fail(ClientFailure::kTimeout);
  }
}

void
ClientConnection::HandleAnswerTimeout(evutil_socket_t /*aSocket*/,
                                      short /*aWhat*/,
                                      void* aSelf)
{
  static_cast<ClientConnection*>(aSelf)->Fail(ClientFailure::kTimeout);
}

void
ClientConnection::UpdateTimer()
{
  if (m_state == State::kIdle) {
    m_stream->StartTimer(m_limits.idleTimeout);
  } else if (m_state == State::kBusy) {
    if (Current().paused) {
      m_stream->StopTimer();
    } else {
      m_stream->StartTimer(m_limits.silenceTimeout);
    }
  }
}

}
