#include "standin/server/Job.h"

#include <algorithm>

#include <fmt/format.h>

namespace pistachioshift::standin {
namespace {

constexpr size_t kMaxEchoBytes = 8 * internal::kKiB * internal::kKiB;
constexpr size_t kMaxBlobPartBytes = 64 * internal::kKiB;
/// The byte at offset p of a blob is p modulo this.
constexpr uint64_t kBlobPeriod = 251;

std::string
MakeBlobPart(uint64_t aFirst, uint64_t aEnd)
{
  std::string part(std::min<uint64_t>(kMaxBlobPartBytes, aEnd - aFirst), '\0');
  for (size_t i = 0; i < part.size(); ++i) {
    part[i] = static_cast<char>((aFirst + i) % kBlobPeriod);
  }
  return part;
}

}

Job::Job(Backend& aBackend,
         std::shared_ptr<ServerExchange> aExchange,
         Target aTarget)
  : m_backend(aBackend)
  , m_exchange(std::move(aExchange))
  , m_target(std::move(aTarget))
  , m_routing(ReadRoutingHeaders(m_exchange->Head().headers))
  , m_kind(ParseKind(m_exchange->Head().method, m_target.path))
  , m_timer(event_new(aBackend.Base(), -1, 0, HandleTimer, this))
{
}

Job::Kind
Job::ParseKind(const std::string& aMethod, const std::string& aPath)
{
  std::string last = aPath.substr(aPath.rfind('/') + 1);
  if (last == "echo") {
    return Kind::kEcho;
  }
  if (last == "work") {
    return Kind::kWork;
  }
  if (last == "blob") {
    return Kind::kBlob;
  }
  if (last == "orders" && aMethod == "POST") {
    return Kind::kOrders;
  }
  return last == "sink" && aMethod == "POST" ? Kind::kSink : Kind::kUnknown;
}

RecordLine
Job::Line() const
{
  return { .routing = m_routing,
           .method = m_exchange->Head().method,
           .path = m_target.path };
}

void
Job::WaitForSlot()
{
  m_exchange->PauseBody();
  m_exchange->SetListener(shared_from_this());
}

void
Job::Run()
{
  m_running = true;
  RecordLine line = Line();
  line.start = m_backend.WallNow();
  m_line = m_backend.RequestRecord().Begin(std::move(line));
  timeval work = internal::ToTimeval(m_backend.WorkDuration(m_target));
  event_add(m_timer.get(), &work);
  m_exchange->SetListener(shared_from_this());
  m_exchange->ResumeBody();
}

void
Job::HandleTimer(evutil_socket_t /*aSocket*/, short /*aWhat*/, void* aJob)
{
  auto self = static_cast<Job*>(aJob)->shared_from_this();
  self->m_workDone = true;
  self->AnswerIfReady();
}

void
Job::Refuse(int aStatus, const std::string& aReason)
{
  Headers headers{ { "Pistachio-Outcome", "not-run" },
                   { "Pistachio-Reason", aReason } };
  Reply(*m_exchange, aStatus, aReason + "\n", std::move(headers));
}

void
Job::OnBody(std::string_view aData)
{
  m_bodyBytes += aData.size();
  if (m_kind == Kind::kEcho) {
    m_echo.append(aData.substr(0, kMaxEchoBytes - m_echo.size()));
  }
}

void
Job::OnBodyEnd()
{
  m_bodyEnded = true;
  AnswerIfReady();
}

void
Job::AnswerIfReady()
{
  if (!m_workDone || !m_bodyEnded) {
    return;
  }
  auto self = shared_from_this();
  switch (m_kind) {
    case Kind::kBlob:
      StartBlob();
      return;
    case Kind::kEcho:
      Reply(*m_exchange, 200, m_echo);
      break;
    case Kind::kOrders:
      Reply(*m_exchange, 201, m_routing.requestId + "\n");
      break;
    case Kind::kSink:
      Reply(*m_exchange, 200, fmt::format("{}\n", m_bodyBytes));
      break;
    case Kind::kWork:
    case Kind::kUnknown:
      Reply(*m_exchange, 200, "done\n");
      break;
  }
  End(Outcome::kDone);
}

void
Job::StartBlob()
{
  uint64_t size =
    static_cast<uint64_t>(std::max(0.0, m_target.Number("bytes", 0)));
  std::string tag = fmt::format("\"blob-{}\"", size);
  ResponseHead head{ .headers = { { "ETag", tag },
                                  { "Accept-Ranges", "bytes" } } };
  const Headers& requestHeaders = m_exchange->Head().headers;
  const std::string* ifRange = requestHeaders.Find("If-Range");
  bool tagMatches = !ifRange || *ifRange == tag;
  m_blobEnd = size;
  if (auto range = ReadRange(requestHeaders, size); range && tagMatches) {
    head.status = 206;
    m_blobNext = range->first;
    m_blobEnd = range->last + 1;
    head.headers.Add(
      "Content-Range",
      fmt::format("bytes {}-{}/{}", range->first, range->last, size));
  }
  head.contentLength = m_blobEnd - m_blobNext;
  m_exchange->SendHead(head);
  SendBlob();
}

void
Job::SendBlob()
{
  while (m_blobNext < m_blobEnd) {
    std::string part = MakeBlobPart(m_blobNext, m_blobEnd);
    m_blobNext += part.size();
    if (!m_exchange->SendBody(part)) {
      return;
    }
  }
  m_exchange->Finish();
  End(Outcome::kDone);
}

void
Job::OnDrained()
{
  auto self = shared_from_this();
  SendBlob();
}

void
Job::OnAborted(AbortReason /*aReason*/)
{
  auto self = shared_from_this();
  if (m_running) {
    End(Outcome::kCancelled);
  } else {
    m_backend.RemoveFromQueue(*this);
  }
}

void
Job::End(Outcome aOutcome)
{
  m_running = false;
  event_del(m_timer.get());
  m_backend.RequestRecord().End(
    m_line, aOutcome, m_backend.WallNow(), m_bodyBytes);
  m_backend.ReleaseSlot();
}

}
