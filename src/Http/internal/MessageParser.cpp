#include "src/Http/internal/MessageParser.h"

#include <algorithm>
#include <cstdint>

#include "src/Http/internal/Syntax.h"

namespace pistachioshift::internal {
namespace {

MessageParser&
Self(http_parser* aParser)
{
  return *static_cast<MessageParser*>(aParser->data);
}

ParseProblem
ProblemOf(http_errno aError)
{
  switch (aError) {
    case HPE_HEADER_OVERFLOW:
      return ParseProblem::kHeadTooLarge;
    case HPE_UNEXPECTED_CONTENT_LENGTH:
    case HPE_INVALID_TRANSFER_ENCODING:
      return ParseProblem::kAmbiguousLength;
    case HPE_INVALID_METHOD:
      return ParseProblem::kBadMethod;
    case HPE_INVALID_VERSION:
      return ParseProblem::kBadVersion;
    case HPE_INVALID_URL:
    case HPE_INVALID_HOST:
    case HPE_INVALID_PORT:
    case HPE_INVALID_PATH:
    case HPE_INVALID_QUERY_STRING:
    case HPE_INVALID_FRAGMENT:
      return ParseProblem::kBadTarget;
    default:
      return ParseProblem::kMalformed;
  }
}

/** Whether an answer with this status ends with its head, whatever fields of
 * the head say of a body (RFC 9112, 6.3). */
bool
IsBodyless(unsigned int aStatus)
{
  return aStatus < HTTP_STATUS_OK || aStatus == HTTP_STATUS_NO_CONTENT ||
         aStatus == HTTP_STATUS_NOT_MODIFIED;
}

size_t
CountOf(const Headers& aHeaders, std::string_view aName)
{
  return static_cast<size_t>(
    std::count_if(aHeaders.begin(), aHeaders.end(), [&](const Header& aField) {
      return EqualNames(aField.name, aName);
    }));
}

}

MessageParser::MessageParser(MessageKind aKind, const HeadBounds& aBounds)
  : m_kind(aKind)
  , m_bounds(aBounds)
{
  Reset();
}

void
MessageParser::Reset(bool aWithoutBody)
{
  bool request = m_kind == MessageKind::kRequest;
  http_parser_init(&m_parser, request ? HTTP_REQUEST : HTTP_RESPONSE);
  m_parser.data = this;
  m_withoutBody = aWithoutBody;
  m_headDone = false;
  m_lastWasName = false;
  m_headBytes = 0;
  m_answerCheck = {};
  m_headerCount = 0;
  m_target.clear();
  m_name.clear();
  m_value.clear();
  m_headers = {};
  m_contentLength.reset();
}

const http_parser_settings&
MessageParser::Settings()
{
  static const http_parser_settings kSettings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = [](http_parser* aParser, const char* aAt, size_t aSize) {
      Self(aParser).m_target.append(aAt, aSize);
      return 0;
    };
    settings.on_header_field =
      [](http_parser* aParser, const char* aAt, size_t aSize) {
        return Self(aParser).OnHeaderPart(true, { aAt, aSize });
      };
    settings.on_header_value =
      [](http_parser* aParser, const char* aAt, size_t aSize) {
        return Self(aParser).OnHeaderPart(false, { aAt, aSize });
      };
    settings.on_headers_complete = [](http_parser* aParser) {
      return Self(aParser).OnHeadersComplete();
    };
    settings.on_body = [](http_parser* aParser, const char* aAt, size_t aSize) {
      Self(aParser).m_body = { aAt, aSize };
      return Self(aParser).Emit(ParseEvent::kBody);
    };
    settings.on_message_complete = [](http_parser* aParser) {
      return Self(aParser).Emit(ParseEvent::kEnd);
    };
    return settings;
  }();
  return kSettings;
}

int
MessageParser::OnHeaderPart(bool aIsName, std::string_view aPart)
{
  if (m_headDone) {
    return 0; // Trailers are dropped.
  }
  if (aIsName && !m_lastWasName && !m_name.empty()) {
    m_headers.Add(std::move(m_name), std::move(m_value));
    m_name.clear();
    m_value.clear();
  }
  m_headerCount += aIsName && !m_lastWasName ? 1 : 0;
  (aIsName ? m_name : m_value).append(aPart);
  m_lastWasName = aIsName;
  return 0;
}

int
MessageParser::OnHeadersComplete()
{
  if (!m_name.empty()) {
    m_headers.Add(std::move(m_name), std::move(m_value));
  }
  m_headDone = true;
  if ((m_parser.flags & F_CONTENTLENGTH) != 0) {
    m_contentLength = m_parser.content_length;
  }
  Emit(ParseEvent::kHead);
  const bool bodyless =
    m_kind == MessageKind::kResponse && IsBodyless(m_parser.status_code);
  return m_withoutBody || bodyless ? 1 : 0;
}

int
MessageParser::Emit(ParseEvent aEvent)
{
  m_event = aEvent;
  http_parser_pause(&m_parser, 1);
  return 0;
}

ParseStep
MessageParser::Fail(ParseProblem aProblem)
{
  m_problem = aProblem;
  return { ParseEvent::kError, 0, {} };
}

ParseStep
MessageParser::Run(const char* aData, size_t aSize)
{
  m_event = ParseEvent::kNeedMore;
  m_body = {};
  size_t consumed = http_parser_execute(&m_parser, &Settings(), aData, aSize);
  http_errno error = HTTP_PARSER_ERRNO(&m_parser);
  if (error == HPE_PAUSED) {
    http_parser_pause(&m_parser, 0);
    return { m_event, consumed, m_body };
  }
  if (error != HPE_OK) {
    return Fail(ProblemOf(error));
  }
  return { ParseEvent::kNeedMore, consumed, {} };
}

ParseStep
MessageParser::Step(std::string_view aInput)
{
  if (aInput.empty()) {
    return {}; // An empty input would tell the parser of the end.
  }
  bool inHead = !m_headDone;
  ParseStep step = Run(aInput.data(), aInput.size());
  if (!inHead || step.event == ParseEvent::kError) {
    return step;
  }
  AddToHead(aInput, step);
  if (m_headBytes > m_bounds.maxBytes || m_headerCount > m_bounds.maxHeaders) {
    return Fail(ParseProblem::kHeadTooLarge);
  }
  if (step.event == ParseEvent::kHead && !CheckHead()) {
    return { ParseEvent::kError, step.consumed, {} };
  }
  return step;
}

void
MessageParser::AddToHead(std::string_view aInput, const ParseStep& aStep)
{
  m_headBytes += aStep.consumed;
  if (m_kind == MessageKind::kResponse) {
    // http_parser tells of a head before it takes the last byte of it.
    const size_t last = aStep.event == ParseEvent::kHead ? 1 : 0;
    m_answerCheck.Add(aInput.substr(0, aStep.consumed + last));
  }
}

ParseStep
MessageParser::StepEof()
{
  return Run(nullptr, 0);
}

bool
MessageParser::CheckHead()
{
  if (m_parser.http_major != 1) {
    m_problem = ParseProblem::kBadVersion;
    return false;
  }
  m_problem = ParseProblem::kMalformed;
  if (m_kind == MessageKind::kResponse &&
      !(m_answerCheck.IsValid() && IsStatus(m_parser.status_code))) {
    return false;
  }
  for (const Header& field : m_headers) {
    if (!IsToken(field.name) || !IsFieldValue(field.value)) {
      return false;
    }
  }
  return CheckFraming() && (m_kind == MessageKind::kResponse || CheckRequest());
}

bool
MessageParser::CheckFraming()
{
  const std::string* encoding = m_headers.Find("Transfer-Encoding");
  bool onlyChunked = CountOf(m_headers, "Transfer-Encoding") == 1 &&
                     EqualNames(*encoding, "chunked") && IsHttp11();
  if (encoding && !onlyChunked) {
    m_problem = ParseProblem::kAmbiguousLength;
    return false;
  }
  // The frames between daemons carry a length as a signed number.
  return m_contentLength.value_or(0) <= INT64_MAX;
}

bool
MessageParser::CheckRequest()
{
  if (m_parser.method == HTTP_CONNECT) {
    m_problem = ParseProblem::kBadMethod;
    return false;
  }
  size_t names = CountOf(m_headers, "Host");
  if (names > 1 || (names == 0 && IsHttp11())) {
    return false;
  }
  m_problem = ParseProblem::kBadTarget;
  return TakeOriginForm() && IsOriginForm(m_target);
}

bool
MessageParser::TakeOriginForm()
{
  if (m_target.starts_with('/')) {
    return true;
  }
  http_parser_url url;
  http_parser_url_init(&url);
  if (http_parser_parse_url(m_target.data(), m_target.size(), 0, &url) != 0 ||
      (url.field_set & (1 << UF_HOST)) == 0) {
    return false;
  }
  if ((url.field_set & (1 << UF_PATH)) == 0) {
    return false;
  }
  m_target.erase(0, url.field_data[UF_PATH].off);
  return true;
}

RequestHead
MessageParser::TakeRequestHead()
{
  RequestHead head;
  head.method = http_method_str(static_cast<http_method>(m_parser.method));
  head.target = std::move(m_target);
  head.headers = std::move(m_headers);
  head.contentLength = m_contentLength;
  head.chunked = (m_parser.flags & F_CHUNKED) != 0;
  return head;
}

ResponseHead
MessageParser::TakeResponseHead()
{
  ResponseHead head;
  head.status = static_cast<int>(m_parser.status_code);
  head.headers = std::move(m_headers);
  head.contentLength = m_contentLength;
  return head;
}

}
