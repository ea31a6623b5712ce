#ifndef PISTACHIOSHIFT_HTTP_INTERNAL_SERVERCONNECTION_H
#define PISTACHIOSHIFT_HTTP_INTERNAL_SERVERCONNECTION_H

#include <memory>
#include <string_view>

#include "src/Http/Server.h"
#include "src/Http/internal/MessageParser.h"
#include "src/Http/internal/MessageWriter.h"
#include "src/Http/internal/ServerCore.h"
#include "src/Http/internal/Stream.h"

namespace pistachioshift::internal {

/** One connection of a caller; it serves one exchange at a time. */
class ServerConnection final
  : public StreamHandler
  , public std::enable_shared_from_this<ServerConnection>
{
public:
  ServerConnection(std::shared_ptr<ServerCore> aCore, evutil_socket_t aSocket);

  // From the core.
  void CloseIfIdle();
  void Close(AbortReason aReason);

  // From the exchange.
  void BodyWanted();
  void PauseBody();
  void ResumeBody();
  void SendHead(const ResponseHead& aHead);
  bool SendBody(std::string_view aData);

  /** False if the answer isn't whole. */
  bool Finish();
  size_t BufferedBytes() const { return m_stream->OutputBytes(); }

  // From the stream.
  void OnReadable() override;
  void OnWritable() override;
  void OnStreamEnd(StreamEnd aEnd) override;
  void OnTimer() override;

private:
  enum class State
  {
    kHead,       ///< Waits for a request, or reads its head.
    kExchange,   ///< The answer is not finished.
    kDiscarding, ///< Drops the rest of a body that nobody wants.
    kFlushing,   ///< Sends the last bytes before it closes.
    kLingering,  ///< Drops input until the caller closes.
    kClosed,
  };

  bool WantsInput() const;
  template<class Action>
  void Contain(Action aAction);
  void FailExchange(AbortReason aReason, HttpRefusal aRefusal);
  void ReadAll();
  bool ReadOnce();
  void HandleStep(const ParseStep& aStep);
  void HandleHead();
  void HandleBody(std::string_view aData);
  void HandleBodyEnd();
  void HandleProblem();
  void NextRequest();
  void Refuse(HttpRefusal aRefusal);
  void EndExchange();
  void AbortExchange(AbortReason aReason);
  /** Whether the listener has finished an answer to a stalled request. */
  bool AnswersBodyTimeout();
  void FlushAndClose();
  void Linger();
  void UpdateTimer();
  BodyWriter FramingOf(const ResponseHead& aHead, Framing& aFraming);
  Persistence PersistenceOf() const;

  std::shared_ptr<ServerCore> m_core;
  const HttpLimits& m_limits;
  std::unique_ptr<Stream> m_stream;
  MessageParser m_parser;
  State m_state = State::kHead;
  std::shared_ptr<ServerExchange> m_exchange;
  BodyWriter m_body;
  size_t m_discarded = 0; ///< Bytes.
  bool m_reading = false;
  bool m_headBegun = false;
  bool m_headTimed = false;
  bool m_served = false; ///< A request was answered before.
  bool m_bodyPaused = false;
  bool m_bodyEnded = false;
  bool m_headSent = false;
  bool m_outputFull = false;
  bool m_expectsContinue = false;
  bool m_headRequest = false;
  bool m_keepAlive = true;
};

}

#endif
