#include <optional>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/Http/HttpError.h"
#include "src/Http/internal/MessageParser.h"
#include "src/Http/internal/MessageWriter.h"

namespace pistachioshift::internal {
namespace {

constexpr HeadBounds kBounds{ size_t{ 64 } * 1024, 128 };

const std::string kRequest =
  "POST /read/a?b=c HTTP/1.1\r\nHost: shop.example\r\n"
  "X-Shop: one, two\r\nAccept:*/*\r\n"
  "Content-Length: 3\r\n\r\n";

const std::string kResponse =
  "HTTP/1.1 200 OK\r\nX-Shop: one\r\n"
  "Set-Cookie:\ta=b;\tc\r\nContent-Length: 3\r\n\r\n";

template<class Head>
Head
Take(MessageParser& aParser)
{
  if constexpr (std::is_same_v<Head, RequestHead>) {
    return aParser.TakeRequestHead();
  } else {
    return aParser.TakeResponseHead();
  }
}

/** The head of a message; nothing if the parser refuses it.
 * \param aFirst bytes that arrive before the others. */
template<class Head>
std::optional<Head>
Parse(const std::string& aBytes, size_t aFirst = std::string::npos)
{
  MessageParser parser(std::is_same_v<Head, RequestHead>
                         ? MessageKind::kRequest
                         : MessageKind::kResponse,
                       kBounds);
  std::string_view rest = aBytes;
  size_t first = aFirst;
  while (!rest.empty()) {
    const auto step = parser.Step(rest.substr(0, first));
    if (step.event == ParseEvent::kHead) {
      return Take<Head>(parser);
    }
    if (step.event != ParseEvent::kNeedMore) {
      return std::nullopt;
    }
    rest.remove_prefix(step.consumed);
    first = std::string::npos;
  }
  return std::nullopt;
}

std::string
Write(const RequestHead& aHead)
{
  return WriteRequestHead(aHead, "shop.example");
}

std::string
Write(const ResponseHead& aHead)
{
  const auto framing =
    aHead.contentLength ? Framing::kLength : Framing::kChunked;
  return WriteResponseHead(aHead, framing, Persistence::kDefault);
}

/** Fields other than those that the writer derives from the framing. */
Headers
Forwarded(Headers aHeaders)
{
  for (const auto* name :
       { "Content-Length", "Transfer-Encoding", "Connection" }) {
    aHeaders.Remove(name);
  }
  return aHeaders;
}

/** What is wrong with a head that the parser accepts; empty: nothing. */
template<class Head>
std::string
Problem(const std::string& aBytes)
{
  const auto head = Parse<Head>(aBytes);
  if (!head) {
    return {};
  }
  try {
    const auto again = Parse<Head>(Write(*head));
    if (!again) {
      return "is refused when it has been written again";
    }
    return Forwarded(again->headers) == Forwarded(head->headers)
             ? ""
             : "has other fields when it has been written again";
  } catch (const HttpError& error) {
    return error.what();
  }
}

template<class Head>
void
ExpectNoProblem(const std::string& aBytes)
{
  EXPECT_EQ(Problem<Head>(aBytes), "") << testing::PrintToString(aBytes);
}

std::string
Spoiled(std::string aBytes)
{
  const auto count = *rc::gen::inRange(1, 4);
  for (int index = 0; index < count; ++index) {
    const auto position = *rc::gen::inRange<size_t>(0, aBytes.size());
    aBytes[position] = static_cast<char>(*rc::gen::inRange(0, 256));
  }
  return aBytes;
}

}

/**
 * Guards against a head that the parser accepts and the writer refuses: the
 * exception ended the daemon that passed it on, and all requests with it.
 */
TEST(HeadRoundTripTest, Parse_AnyByteAtAnyPlace_WhatIsAcceptedCanBeWritten)
{
  for (int byte = 0; byte <= UINT8_MAX; ++byte) {
    for (size_t position = 0; position < kRequest.size(); ++position) {
      auto bytes = kRequest;
      bytes[position] = static_cast<char>(byte);
      ExpectNoProblem<RequestHead>(bytes);
    }
    for (size_t position = 0; position < kResponse.size(); ++position) {
      auto bytes = kResponse;
      bytes[position] = static_cast<char>(byte);
      ExpectNoProblem<ResponseHead>(bytes);
    }
  }
}

TEST(HeadRoundTripTest, Parse_ControlCharacters_AreRefused)
{
  for (const char byte : { '\0', '\x01', '\x0b', '\x1f', '\x7f' }) {
    for (const auto& value : { std::string(1, byte) + "a",
                               "a" + std::string(1, byte),
                               "a" + std::string(1, byte) + "b" }) {
      EXPECT_FALSE(Parse<ResponseHead>("HTTP/1.1 200 OK\r\nX: " + value +
                                       "\r\nContent-Length: 0\r\n\r\n"));
      EXPECT_FALSE(Parse<RequestHead>(
        "GET / HTTP/1.1\r\nHost: a\r\nX: " + value + "\r\n\r\n"));
    }
    EXPECT_FALSE(Parse<RequestHead>("GET /" + std::string(1, byte) +
                                    "a HTTP/1.1\r\nHost: a\r\n\r\n"));
  }
  EXPECT_FALSE(Parse<RequestHead>("GET /\ta HTTP/1.1\r\nHost: a\r\n\r\n"));
}

TEST(HeadRoundTripTest, Parse_TabAndOtherCharsetsInAValue_AreKept)
{
  const auto head = Parse<ResponseHead>(
    "HTTP/1.1 200 OK\r\nX: a\tb \xc3\xa4\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(head);
  EXPECT_EQ(*head->headers.Find("X"), "a\tb \xc3\xa4");
}

/** Guards against a head that is refused or not as its bytes happen to arrive.
 */
TEST(HeadRoundTripTest, Parse_InTwoParts_IsTheSame)
{
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string rest = "X-Shop: 1\r\nContent-Length: 2\r\n\r\n";
  const std::vector<std::string> good{ status + rest,
                                       "\r\n" + status + rest,
                                       status + "\r\n",
                                       "HTTP/1.1 200\n\n",
                                       "HTTP/1.0 200 OK\nX-Shop: 1\n\n" };
  const std::vector<std::string> bad{
    "HTTP/1.1 0200 OK\r\n" + rest, status + " " + rest,
    "HTTP/1.1 000 OK\r\n" + rest,  "HTTP/1.1 20 0 OK\r\n" + rest,
    status + "A: b\r\n\t" + rest,  status + "\r" + rest,
    status + "\n" + rest,          status + "A: b\r\n\r" + rest,
    status + "A: b\n" + rest,      "HTTP/1.1 200 OK\nA: b\n\r" + rest
  };
  for (const auto& bytes : good) {
    for (size_t first = 1; first <= bytes.size(); ++first) {
      EXPECT_TRUE(Parse<ResponseHead>(bytes, first))
        << first << " of " << testing::PrintToString(bytes);
    }
  }
  for (const auto& bytes : bad) {
    for (size_t first = 1; first <= bytes.size(); ++first) {
      EXPECT_FALSE(Parse<ResponseHead>(bytes, first))
        << first << " of " << testing::PrintToString(bytes);
    }
  }
}

/** Guards against an answer with a status that no parser takes. */
TEST(HeadRoundTripTest, Write_StatusOutOfRange_Throws)
{
  for (const int status : { -1, 0, 99, 600, 1000 }) {
    EXPECT_THROW(Write(ResponseHead{ .status = status }), HttpError) << status;
  }
}

RC_GTEST_PROP(HeadRoundTripProperty,
              Request_Spoiled_WhatIsAcceptedCanBeWritten,
              ())
{
  const auto bytes = Spoiled(kRequest);
  RC_ASSERT(Problem<RequestHead>(bytes) == std::string());
}

RC_GTEST_PROP(HeadRoundTripProperty,
              Response_Spoiled_WhatIsAcceptedCanBeWritten,
              ())
{
  const auto bytes = Spoiled(kResponse);
  RC_ASSERT(Problem<ResponseHead>(bytes) == std::string());
}

}
