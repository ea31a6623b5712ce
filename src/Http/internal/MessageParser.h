#ifndef PISTACHIOSHIFT_HTTP_INTERNAL_MESSAGEPARSER_H
#define PISTACHIOSHIFT_HTTP_INTERNAL_MESSAGEPARSER_H

#include <cstddef>
#include <optional>
#include <string_view>

#include <http_parser.h>

#include "src/Http/Message.h"
#include "src/Http/internal/AnswerHeadCheck.h"

namespace pistachioshift::internal {

enum class MessageKind
{
  kRequest,
  kResponse,
};

enum class ParseEvent
{
  kNeedMore,
  kHead,
  kBody,
  kEnd,
  kError,
};

enum class ParseProblem
{
  kMalformed,
  kAmbiguousLength,
  kBadTarget,
  kBadMethod,
  kBadVersion,
  kHeadTooLarge,
};

/** One event, and how much of the input it used up. */
struct ParseStep
{
  ParseEvent event = ParseEvent::kNeedMore;
  size_t consumed = 0;
  std::string_view body; ///< Part of the input.
};

struct HeadBounds
{
  size_t maxBytes = 0;
  size_t maxHeaders = 0;
};

/**
 * Turns http_parser's callbacks into one event per call, so that no user code
 * runs inside the parser.
 */
class MessageParser
{
public:
  MessageParser(MessageKind aKind, const HeadBounds& aBounds);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /** Starts on the next message. */
  void Reset(bool aWithoutBody = false);

  ParseStep Step(std::string_view aInput);

  /** Tells that the peer will send no more. */
  ParseStep StepEof();

  RequestHead TakeRequestHead();
  ResponseHead TakeResponseHead();

  /** Whether nothing of the message was seen yet. */
  bool AtStart() const { return m_headBytes == 0; }
  bool KeepAlive() const { return http_should_keep_alive(&m_parser) != 0; }
  bool IsHttp11() const { return m_parser.http_minor >= 1; }
  ParseProblem Problem() const { return m_problem; }

private:
  static const http_parser_settings& Settings();
  int OnHeaderPart(bool aIsName, std::string_view aPart);
  int OnHeadersComplete();
  int Emit(ParseEvent aEvent);
  ParseStep Run(const char* aData, size_t aSize);
  ParseStep Fail(ParseProblem aProblem);
  void AddToHead(std::string_view aInput, const ParseStep& aStep);
  bool CheckHead();
  bool CheckRequest();
  bool CheckFraming();
  bool TakeOriginForm();

  MessageKind m_kind;
  HeadBounds m_bounds;
  http_parser m_parser{};
  bool m_withoutBody = false;
  bool m_headDone = false;
  bool m_lastWasName = false;
  size_t m_headBytes = 0;
  AnswerHeadCheck m_answerCheck;
  size_t m_headerCount = 0;
  std::string m_target;
  std::string m_name;
  std::string m_value;
  Headers m_headers;
  ParseEvent m_event = ParseEvent::kNeedMore;
  ParseProblem m_problem = ParseProblem::kMalformed;
  std::string_view m_body;
  std::optional<uint64_t> m_contentLength;
};

}

#endif
