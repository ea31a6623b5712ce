#include "src/Daemon/InnerSession.h"

namespace pistachioshift {

void
InnerSession::Start(int aSocket)
{
  const auto& compression = m_task.m_services.compression;
  ConnectionSettings settings;
  settings.byteTotals = compression;
  m_connection = Connection::Accept(
    m_task.m_base, m_task.m_clock, aSocket, settings, weak_from_this());
  m_told = m_task.m_calls.Position();
  m_connection->SetPosition(m_told);
  m_connection->Send(Hello{ m_task.m_boot,
                            Hello::kProtocol,
                            m_task.m_services.self(),
                            m_told,
                            compression ? kDeflateBlocks : 0,
                            m_task.m_clock.Now() - m_task.m_startedAt });
}

void
InnerSession::TellPosition(uint64_t aStep)
{
  const auto position = m_task.m_calls.Position();
  if (position.Value() - m_told.Value() < aStep) {
    return;
  }
  m_told = position;
  m_connection->SetPosition(position);
  m_connection->Send(Pong{ 0, position });
}

void
InnerSession::FailRunning()
{
  const auto streams = m_streams;
  for (const auto& [id, stream] : streams) {
    stream->FailRunning();
  }
}

void
InnerSession::Remove(StreamId aStream)
{
  m_streams.erase(aStream);
}

void
InnerSession::OnFrame(Connection&, Frame aFrame)
{
  m_connection->SetPosition(m_task.m_calls.Position());
  const auto find = [this](StreamId aStream) -> std::shared_ptr<InnerStream> {
    const auto found = m_streams.find(aStream);
    return found == m_streams.end() ? nullptr : found->second;
  };
  if (auto* open = std::get_if<RequestOpen>(&aFrame)) {
    Open(std::move(*open));
  } else if (const auto* body = std::get_if<BodyChunk>(&aFrame)) {
    if (const auto stream = find(body->stream)) {
      stream->OnFrame(*body);
    }
  } else if (const auto* credit = std::get_if<Credit>(&aFrame)) {
    if (const auto stream = find(credit->stream)) {
      stream->OnFrame(*credit);
    }
  } else if (const auto* cancel = std::get_if<CancelStream>(&aFrame)) {
    if (const auto stream = find(cancel->stream)) {
      stream->Cancel();
    }
  } else if (const auto* query = std::get_if<OutcomeQuery>(&aFrame)) {
    Answer(*query);
  } else if (const auto* records = std::get_if<RecordsQuery>(&aFrame)) {
    Send(m_task.m_services.records(*records));
  } else if (const auto* load = std::get_if<LoadReport>(&aFrame)) {
    m_task.m_services.load(*load);
  } else if (const auto* report = std::get_if<HostReport>(&aFrame)) {
    Send(m_task.m_services.report(*report));
  } else if (const auto* update = std::get_if<StateReply>(&aFrame)) {
    m_task.m_services.update(*update);
  } else if (const auto* release = std::get_if<RangeRelease>(&aFrame)) {
    if (m_task.m_services.release) {
      m_task.m_services.release(*release);
    }
  } else if (const auto* config = std::get_if<ConfigurationUpdate>(&aFrame)) {
    if (m_task.m_services.configuration) {
      m_task.m_services.configuration(*config);
    }
  } else if (const auto* state = std::get_if<StateQuery>(&aFrame)) {
    if (const auto reply = m_task.m_services.state(*state)) {
      Send(*reply);
    } else {
      m_connection->Close();
    }
  }
}

void
InnerSession::Open(RequestOpen aOpen)
{
  if (m_task.m_saidGoodbye) {
    return; // The peer has been told that it does not run.
  }
  if (m_streams.contains(aOpen.stream)) {
    m_connection->Close();
    return;
  }
  CallRequest request;
  request.id = aOpen.request;
  request.service = std::move(aOpen.service);
  request.key = std::move(aOpen.key);
  request.head = std::move(aOpen.head);
  request.deadline = m_task.m_clock.Now() + aOpen.remaining;
  request.hasBody = aOpen.hasBody;
  request.idempotencyKey = std::move(aOpen.idempotencyKey);
  request.repeat = aOpen.repeat;
  request.known = aOpen.known;
  request.priority = aOpen.priority;
  request.goal = aOpen.goal;
  request.fingerprint = aOpen.fingerprint;
  request.nested = aOpen.nested;
  request.awaitsCredit = aOpen.awaitsCredit;
  const auto stream =
    std::make_shared<InnerStream>(weak_from_this(), aOpen.stream);
  m_streams.emplace(aOpen.stream, stream);
  const bool hasBody = request.hasBody;
  const auto call = m_task.m_calls.Start(std::move(request), stream);
  stream->SetCall(call);
  if (!hasBody) {
    call->Finish();
  }
}

void
InnerSession::Answer(const OutcomeQuery& aQuery)
{
  const auto result = m_task.m_calls.QueryOutcome(aQuery.request, aQuery.known);
  m_task.m_metrics.CountOutcomeQuery(ToString(result.state));
  Send(OutcomeReply{ aQuery.query, result });
}

void
InnerSession::OnDrained(Connection&)
{
}

void
InnerSession::OnError(Connection&, std::string_view aProblem)
{
  if (m_task.m_services.error) {
    m_task.m_services.error(aProblem);
  }
}

void
InnerSession::OnClosed(Connection&, CloseReason aEnd)
{
  const auto self = shared_from_this();
  if (aEnd == CloseReason::kMalformed || aEnd == CloseReason::kInternalError) {
    m_task.m_metrics.CountConnectionEnd(pistachioshift::ToString(aEnd));
  }
  const auto streams = std::move(m_streams);
  m_streams.clear();
  for (const auto& [id, stream] : streams) {
    stream->Abandon();
  }
  m_task.m_sessions.erase(self);
}

void
InnerStream::Send(const Frame& aFrame)
{
  const auto session = m_session.lock();
  if (session) {
    session->Send(aFrame);
  }
}

void
InnerStream::Remove()
{
  m_call.reset();
  const auto session = m_session.lock();
  if (session) {
    session->Remove(m_stream);
  }
}

void
InnerStream::Grant(int64_t aBytes)
{
  if (aBytes > 0) {
    Send(Credit{ m_stream, aBytes });
  }
}

void
InnerStream::OnFrame(const BodyChunk& aPiece)
{
  if (!m_call) {
    return;
  }
  const auto self = shared_from_this();
  if (!aPiece.data.empty() && !m_call->SendBody(aPiece.data)) {
    m_receive.Pause();
  }
  if (!m_call) {
    return; // Refused by these bytes.
  }
  if (aPiece.last) {
    m_call->Finish();
    return;
  }
  Grant(m_receive.OnReceived(aPiece.data.size()));
}

void
InnerStream::OnFrame(const Credit& aCredit)
{
  if (m_send.AddCredit(aCredit.bytes) && m_call) {
    m_call->ResumeBody();
  }
}

void
InnerStream::Cancel()
{
  const auto self = shared_from_this();
  if (m_call) {
    m_call->Cancel();
  }
  Remove();
}

void
InnerStream::Abandon()
{
  const auto call = std::move(m_call);
  if (call) {
    call->Abandon();
  }
}

void
InnerStream::FailRunning()
{
  const auto self = shared_from_this();
  if (const auto call = std::move(m_call)) {
    call->Cancel();
    CallRefusal refusal;
    refusal.outcome = Outcome::kUnknown;
    refusal.reason = RefusalReason::kDraining;
    OnRefused(refusal);
  } else if (m_sender) {
    m_sender->Flush();
  }
}

void
InnerStream::OnHead(const ResponseHead& aHead, const FenceToken& aToken)
{
  const auto session = m_session.lock();
  if (!session) {
    return;
  }
  m_sender = std::make_shared<BulkSender>(session->Bulk(), weak_from_this());
  session->Send(ResponseOpen{ m_stream, aHead, aToken });
}

void
InnerStream::OnBody(std::string_view aData)
{
  if (!m_sender) {
    return;
  }
  m_send.Consume(aData.size());
  if (!m_send.IsOpen() && m_call) {
    m_call->PauseBody();
  }
  m_sender->Send(aData);
}

void
InnerStream::SendNow(std::string_view aData)
{
  while (!aData.empty()) {
    const auto piece = aData.substr(0, kBodyPieceBytes);
    Send(BodyChunk{ m_stream, std::string(piece), false });
    aData.remove_prefix(piece.size());
  }
}

void
InnerStream::OnEnd()
{
  const auto self = shared_from_this();
  m_call.reset();
  if (m_sender) {
    m_sender->Finish();
  }
}

void
InnerStream::FinishNow()
{
  const auto self = shared_from_this();
  Send(BodyChunk{ m_stream, {}, true });
  Remove();
}

void
InnerStream::OnDrained()
{
  Grant(m_receive.Resume());
}

void
InnerStream::OnRefused(const CallRefusal& aRefusal)
{
  const auto self = shared_from_this();
  const auto session = m_session.lock();
  if (session && aRefusal.reason == RefusalReason::kPoisoned) {
    session->TellPosition(1); // The next attempt needs it.
  }
  Send(Refused{ m_stream,
                aRefusal.outcome,
                aRefusal.reason,
                aRefusal.retryAfter,
                aRefusal.holder });
  Remove();
}

void
InnerStream::OnLost(CallLoss)
{
  // The head has been sent already, so the requester treats the refusal as a
  // truncated answer.
  CallRefusal refusal;
  refusal.outcome = Outcome::kUnknown;
  refusal.reason = RefusalReason::kBackendDown;
  OnRefused(refusal);
}

}
