#include "src/Http/internal/MessageWriter.h"

#include <algorithm>
#include <iterator>

#include <event2/buffer.h>
#include <fmt/format.h>
#include <http_parser.h>

#include "src/Http/HttpError.h"
#include "src/Http/internal/Syntax.h"

namespace pistachioshift::internal {
namespace {

constexpr std::string_view kCrLf = "\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";

void
Add(evbuffer* aOutput, std::string_view aData)
{
  evbuffer_add(aOutput, aData.data(), aData.size());
}

void
CheckField(const Header& aField)
{
  if (!IsToken(aField.name) || !IsFieldValue(aField.value)) {
    throw HttpError("header field '" + aField.name + "' can't be sent");
  }
}

bool
IsFramingField(const std::string& aName)
{
  return EqualNames(aName, "Content-Length") ||
         EqualNames(aName, "Transfer-Encoding") ||
         EqualNames(aName, "Connection");
}

void
AppendFields(std::string& aText, const Headers& aHeaders)
{
  for (const Header& field : aHeaders) {
    if (IsFramingField(field.name)) {
      continue;
    }
    CheckField(field);
    aText.append(field.name).append(": ").append(field.value).append(kCrLf);
  }
}

void
AppendLength(std::string& aText, uint64_t aLength)
{
  fmt::format_to(std::back_inserter(aText), "Content-Length: {}\r\n", aLength);
}

std::string_view
ReasonOf(int aStatus)
{
  switch (aStatus) {
#define PISTACHIOSHIFT_REASON(aNumber, aName, aText)                           \
  case aNumber:                                                                \
    return #aText;
    HTTP_STATUS_MAP(PISTACHIOSHIFT_REASON)
#undef PISTACHIOSHIFT_REASON
    default:
      return "Unknown";
  }
}

}

bool
BodyWriter::Write(evbuffer* aOutput, std::string_view aData)
{
  if (aData.empty()) {
    return true; // An empty chunk would end the body.
  }
  switch (m_framing) {
    case Framing::kNone:
      return false;
    case Framing::kOmitted:
      return true;
    case Framing::kLength:
      if (aData.size() > m_left) {
        return false;
      }
      m_left -= aData.size();
      Add(aOutput, aData);
      return true;
    case Framing::kChunked:
      evbuffer_add_printf(aOutput, "%zx\r\n", aData.size());
      Add(aOutput, aData);
      Add(aOutput, kCrLf);
      return true;
    case Framing::kUntilClose:
      Add(aOutput, aData);
      return true;
  }
  return false;
}

bool
BodyWriter::Finish(evbuffer* aOutput)
{
  if (m_framing == Framing::kChunked) {
    Add(aOutput, kLastChunk);
  }
  return m_framing != Framing::kLength || m_left == 0;
}

BodyWriter
BodyOf(const RequestHead& aHead)
{
  if (aHead.chunked) {
    return { Framing::kChunked, 0 };
  }
  if (aHead.contentLength) {
    return { Framing::kLength, *aHead.contentLength };
  }
  return {};
}

std::string
WriteRequestHead(const RequestHead& aHead, std::string_view aHostField)
{
  if (!IsToken(aHead.method)) {
    throw HttpError("method can't be sent");
  }
  if (!IsOriginForm(aHead.target)) {
    throw HttpError("target '" + aHead.target + "' can't be sent");
  }
  std::string text =
    fmt::format("{} {} HTTP/1.1\r\n", aHead.method, aHead.target);
  if (!aHead.headers.Find("Host")) {
    text.append("Host: ").append(aHostField).append(kCrLf);
  }
  AppendFields(text, aHead.headers);
  if (aHead.chunked) {
    text.append("Transfer-Encoding: chunked\r\n");
  } else if (aHead.contentLength) {
    AppendLength(text, *aHead.contentLength);
  }
  return text.append(kCrLf);
}

std::string
WriteResponseHead(const ResponseHead& aHead,
                  Framing aFraming,
                  Persistence aPersistence)
{
  if (!IsStatus(static_cast<unsigned int>(aHead.status))) {
    throw HttpError(fmt::format("status {} can't be sent", aHead.status));
  }
  std::string text =
    fmt::format("HTTP/1.1 {} {}\r\n", aHead.status, ReasonOf(aHead.status));
  AppendFields(text, aHead.headers);
  if (aFraming == Framing::kChunked) {
    text.append("Transfer-Encoding: chunked\r\n");
  } else if (aHead.contentLength && aHead.status != HTTP_STATUS_NO_CONTENT) {
    AppendLength(text, *aHead.contentLength);
  }
  if (aPersistence == Persistence::kClose) {
    text.append("Connection: close\r\n");
  } else if (aPersistence == Persistence::kKeepAlive) {
    text.append("Connection: keep-alive\r\n");
  }
  return text.append(kCrLf);
}

}
