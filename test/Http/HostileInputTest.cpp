#include <string>
#include <utility>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/Http/internal/MessageParser.h"
#include "test/Http/LoopbackSupport.h"

namespace pistachioshift::test {
namespace {

using internal::MessageKind;
using internal::MessageParser;
using internal::ParseEvent;
using internal::ParseStep;

constexpr internal::HeadBounds kBounds{ 32 * internal::kKiB, 128 };

const std::string kGet = "GET /a?b=c HTTP/1.1\r\nHost: h\r\nX: y\r\n\r\n";
const std::string kPost =
  "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
const std::string kChunked =
  "PUT /q HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
  "3;x=1\r\nabc\r\n2\r\nde\r\n0\r\nT: u\r\n\r\n";
const std::string kClose =
  "GET http://h/abs HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
const std::string kExpect =
  "PUT /e HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
  "Content-Length: 1\r\n\r\nx";
const std::string kUpgrade =
  "GET /u HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\n"
  "Upgrade: h2c\r\n\r\n";
const std::string kHttp10 = "GET /old HTTP/1.0\r\n\r\n";

const std::vector<std::string> kRequests = { kGet,   kPost,   kChunked,
                                             kClose, kExpect, kUpgrade,
                                             kHttp10 };

const std::vector<std::string> kTokens = {
  "\r\n",        "\r",      "\n",           " ",
  "\t",          ":",       "\r\n\r\n",     "0\r\n\r\n",
  "HTTP/1.1",    "Host: h", "chunked",      "Content-Length: 7\r\n",
  "\r\n folded", "%00",     "ffffffff\r\n", "Transfer-Encoding: chunked\r\n",
};

rc::Gen<std::string>
GenRequests()
{
  return rc::gen::map(
    rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(kRequests)),
    [](const std::vector<std::string>& aParts) {
      std::string text;
      for (const std::string& part : aParts) {
        text += part;
      }
      return text;
    });
}

/** Cuts, overwrites and inserts at random places. */
std::string
Mutate(std::string aText)
{
  int edits = *rc::gen::inRange(0, 6);
  for (int i = 0; i < edits; ++i) {
    size_t at = *rc::gen::inRange<size_t>(0, aText.size() + 1);
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        aText.insert(at, *rc::gen::elementOf(kTokens));
        break;
      case 1:
        aText.erase(at, *rc::gen::inRange<size_t>(1, 9));
        break;
      default:
        if (at < aText.size()) {
          aText[at] = *rc::gen::arbitrary<char>();
        }
    }
  }
  return aText;
}

rc::Gen<std::string>
GenHostile()
{
  return rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                        rc::gen::exec([] { return Mutate(*GenRequests()); }));
}

/** Sizes in which a text arrives. */
rc::Gen<std::vector<size_t>>
GenPieces()
{
  return rc::gen::container<std::vector<size_t>>(
    rc::gen::inRange<size_t>(1, 40));
}

/** Feeds each piece as a connection would, unused bytes first. */
template<class Consume>
void
ForEachPiece(const std::string& aText,
             const std::vector<size_t>& aPieces,
             Consume aConsume)
{
  size_t at = 0;
  for (size_t size : aPieces) {
    aConsume(std::string_view(aText).substr(at, size));
    at += std::min(size, aText.size() - at);
  }
  aConsume(std::string_view(aText).substr(at));
}

/** What a parser saw, as text. */
class Transcript
{
public:
  explicit Transcript(MessageKind aKind)
    : m_kind(aKind)
    , m_parser(aKind, kBounds)
  {
  }

  void Feed(std::string_view aPiece)
  {
    m_unread += aPiece;
    while (!m_unread.empty() && !m_failed) {
      ParseStep step = m_parser.Step(m_unread);
      Note(step);
      m_unread.erase(0, step.consumed);
    }
  }

  const std::string& Text() const { return m_text; }

private:
  void Note(const ParseStep& aStep)
  {
    if (aStep.event == ParseEvent::kHead) {
      NoteHead();
    } else if (aStep.event == ParseEvent::kBody) {
      m_text += aStep.body;
    } else if (aStep.event == ParseEvent::kEnd) {
      m_text += "<end>";
      m_parser.Reset();
    } else if (aStep.event == ParseEvent::kError) {
      m_text += "<error>";
      m_failed = true;
    }
  }

  void NoteHead()
  {
    Headers headers;
    if (m_kind == MessageKind::kRequest) {
      RequestHead head = m_parser.TakeRequestHead();
      m_text += "<" + head.method + " " + head.target + ">";
      headers = head.headers;
    } else {
      ResponseHead head = m_parser.TakeResponseHead();
      m_text += "<" + std::to_string(head.status) + ">";
      headers = head.headers;
    }
    for (const Header& field : headers) {
      m_text += field.name + "=" + field.value + ";";
    }
  }

  MessageKind m_kind;
  MessageParser m_parser;
  std::string m_unread;
  std::string m_text;
  bool m_failed = false;
};

RC_GTEST_PROP(MessageParserProperty, Pieces_AnySizes_GiveTheSameMessages, ())
{
  std::string text = *GenHostile();
  auto kind = *rc::gen::element(MessageKind::kRequest, MessageKind::kResponse);
  Transcript whole(kind);
  whole.Feed(text);
  Transcript pieces(kind);
  ForEachPiece(
    text, *GenPieces(), [&](std::string_view aPiece) { pieces.Feed(aPiece); });
  RC_ASSERT(pieces.Text() == whole.Text());
}

class HostileInputTest : public LoopbackTest
{};

/** Answers at once, late, or with an abort, with and without the body. */
class MixedServer
{
public:
  void Handle(const std::shared_ptr<ServerExchange>& aExchange)
  {
    targetsGood = targetsGood && aExchange->Head().target.starts_with('/');
    switch (++m_count % 4) {
      case 0:
        aExchange->Abort();
        return;
      case 1:
        aExchange->SetListener(std::make_shared<RequestRecorder>());
        break;
      default:
        break;
    }
    Answer(*aExchange, "ok");
  }

  bool targetsGood = true;

private:
  int m_count = 0;
};

RC_GTEST_FIXTURE_PROP(HostileInputTest,
                      Server_AnyBytes_AnswersOrClosesAndForgets,
                      ())
{
  m_limits.idleTimeout = std::chrono::milliseconds(5);
  m_limits.headTimeout = std::chrono::milliseconds(5);
  m_limits.bodyTimeout = std::chrono::milliseconds(5);
  m_limits.lingerTimeout = std::chrono::milliseconds(5);
  std::string text = *GenHostile();
  MixedServer mixed;
  StartServer([&](const std::shared_ptr<ServerExchange>& aExchange) {
    mixed.Handle(aExchange);
  });
  RawPeer peer(m_base.get(), m_server->LocalEndpoint());
  ForEachPiece(text, *GenPieces(), [&](std::string_view aPiece) {
    peer.Write(aPiece);
    event_base_loop(m_base.get(), EVLOOP_NONBLOCK);
  });
  RC_ASSERT(RunUntil([&] { return peer.Closed(); }));
  RC_ASSERT(RunUntil([&] { return m_server->Connections() == 0; }));
  RC_ASSERT(m_server->Active() == 0U);
  RC_ASSERT(mixed.targetsGood);
}

// Guards against a length that the protocol between daemons can't carry, so
// that all requests on a connection to another daemon are lost.
TEST_F(HostileInputTest, Server_LengthOver63Bits_RefusesTheRequest)
{
  int handled = 0;
  StartServer([&](const std::shared_ptr<ServerExchange>&) { ++handled; });
  RawPeer peer(m_base.get(), m_server->LocalEndpoint());
  peer.Write("PUT / HTTP/1.1\r\nHost: h\r\n"
             "Content-Length: 9223372036854775808\r\n\r\nx");
  EXPECT_TRUE(RunUntil([&] { return handled > 0 || peer.Closed(); }));
  EXPECT_EQ(handled, 0);
  EXPECT_TRUE(peer.Received().starts_with("HTTP/1.1 400"));
}

RC_GTEST_FIXTURE_PROP(HostileInputTest, Client_AnyAnswer_EndsOnceOrFails, ())
{
  m_clientLimits.silenceTimeout = std::chrono::milliseconds(5);
  std::string body = *GenHostile();
  bool withHead = *rc::gen::arbitrary<bool>();
  std::string answer =
    Mutate(withHead ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "3\r\nabc\r\n0\r\n\r\n"
                    : body);
  RawServer peer(m_base.get(), answer, *rc::gen::arbitrary<bool>());
  HttpClientPool pool(m_base.get(), peer.LocalEndpoint(), m_clientLimits);
  auto recorder = std::make_shared<AnswerRecorder>();
  auto exchange = pool.Start({ .method = "GET", .target = "/" }, recorder);
  exchange->Finish();
  RC_ASSERT(RunUntil([&] { return recorder->Done(); }));
  RunBriefly();
  RC_ASSERT(recorder->ended != recorder->failure.has_value());
  RC_ASSERT(exchange->Ended());
  RC_ASSERT(!recorder->ended || recorder->head.has_value());
}

}
}
