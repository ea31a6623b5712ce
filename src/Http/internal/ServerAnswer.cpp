#include "src/Http/HttpError.h"
#include "src/Http/internal/ServerConnection.h"

namespace pistachioshift::internal {
namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

}

BodyWriter
ServerConnection::FramingOf(const ResponseHead& aHead, Framing& aFraming)
{
  bool bodyless = aHead.status == kNoContent || aHead.status == kNotModified;
  if (m_headRequest || bodyless) {
    aFraming = Framing::kOmitted;
  } else if (aHead.contentLength) {
    aFraming = Framing::kLength;
  } else if (m_parser.IsHttp11()) {
    aFraming = Framing::kChunked;
  } else {
    aFraming = Framing::kUntilClose;
    m_keepAlive = false;
  }
  return { aFraming, aHead.contentLength.value_or(0) };
}

Persistence
ServerConnection::PersistenceOf() const
{
  if (!m_keepAlive) {
    return Persistence::kClose;
  }
  return m_parser.IsHttp11() ? Persistence::kDefault : Persistence::kKeepAlive;
}

void
ServerConnection::SendHead(const ResponseHead& aHead)
{
  if (m_headSent) {
    Close(AbortReason::kUnsendable);
    return;
  }
  // A caller that was not told to continue may leave its body out.
  m_keepAlive = m_keepAlive && !m_core->Stopping() && !m_expectsContinue;
  Framing framing = Framing::kNone;
  m_body = FramingOf(aHead, framing);
  std::string text;
  try {
    text = WriteResponseHead(aHead, framing, PersistenceOf());
  } catch (const HttpError&) {
    FailExchange(AbortReason::kUnsendable, HttpRefusal::kUnsendableAnswer);
    return;
  }
  if (framing == Framing::kUntilClose) {
    // The close is the only end of this body: a cut one must not look whole.
    m_stream->SetResetOnClose(true);
  }
  evbuffer_add(m_stream->Output(), text.data(), text.size());
  m_headSent = true;
}

bool
ServerConnection::SendBody(std::string_view aData)
{
  if (!m_headSent || !m_body.Write(m_stream->Output(), aData)) {
    Close(AbortReason::kUnsendable);
    return true;
  }
  // Stays set until OnDrained, although a later part may fit again.
  m_outputFull =
    m_outputFull || m_stream->OutputBytes() > m_limits.outputHighWatermark;
  return !m_outputFull;
}

bool
ServerConnection::Finish()
{
  auto self = shared_from_this();
  if (!m_headSent || !m_body.Finish(m_stream->Output())) {
    return false;
  }
  EndExchange();
  if (m_bodyEnded) {
    NextRequest();
  } else if (m_expectsContinue) {
    FlushAndClose();
  } else {
    m_state = State::kDiscarding;
    m_stream->ScheduleRead();
    UpdateTimer();
  }
  return true;
}

}
