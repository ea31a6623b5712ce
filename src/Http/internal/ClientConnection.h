#ifndef PISTACHIOSHIFT_HTTP_INTERNAL_CLIENTCONNECTION_H
#define PISTACHIOSHIFT_HTTP_INTERNAL_CLIENTCONNECTION_H

#include <memory>
#include <optional>
#include <string_view>

#include "src/Http/Client.h"
#include "src/Http/internal/ClientCore.h"
#include "src/Http/internal/MessageParser.h"
#include "src/Http/internal/Stream.h"

namespace pistachioshift::internal {

enum class WriteResult
{
  kWritten,
  kRefused, ///< The check said no; the connection stays idle.
  kDead,    ///< The socket took no byte; the connection is closed.
};

/** One connection to the backend server; it serves one exchange at a time. */
class ClientConnection final
  : public StreamHandler
  , public std::enable_shared_from_this<ClientConnection>
{
public:
  explicit ClientConnection(std::shared_ptr<ClientCore> aCore);

  // From the core.
  bool Connect();
  bool IsUsable() const;
  bool IsFresh() const { return m_fresh; }
  WriteResult Write(const std::shared_ptr<ClientExchange>& aExchange);

  /** Closes without a word to the listener. */
  void Close();

  // From the exchange.
  evbuffer* Output() const { return m_stream->Output(); }
  size_t OutputBytes() const { return m_stream->OutputBytes(); }
  void UpdateTimer();
  void ScheduleRead() { m_stream->ScheduleRead(); }

  // From the stream.
  void OnConnected() override;
  void OnReadable() override;
  void OnWritable() override;
  void OnStreamEnd(StreamEnd aEnd) override;
  void OnTimer() override;

private:
  enum class State
  {
    kConnecting,
    kIdle,
    kBusy,
    kClosed,
  };

  bool WantsInput() const;
  void ReadAll();
  bool ReadOnce();
  void HandleStep(const ParseStep& aStep);
  void HandleHead();
  void HandleBody(std::string_view aData);
  void HandleEnd();
  void HandleEof();
  void Fail(ClientFailure aFailure);
  template<class Action>
  void Contain(Action aAction);
  std::shared_ptr<ClientListener> EndExchange();
  ClientState& Current() const;
  static void HandleAnswerTimeout(evutil_socket_t aSocket,
                                  short aWhat,
                                  void* aSelf);

  std::shared_ptr<ClientCore> m_core;
  const HttpClientLimits& m_limits;
  std::unique_ptr<Stream> m_stream;
  EventPtr m_answerTimer;
  MessageParser m_parser;
  State m_state = State::kConnecting;
  std::shared_ptr<ClientExchange> m_exchange;
  std::optional<StreamEnd> m_end;
  bool m_fresh = true; ///< Carried no request yet.
  bool m_reading = false;
  bool m_interim = false; ///< Within a 1xx answer.
  bool m_headSeen = false;
  size_t m_interimAnswers = 0;  ///< Of this exchange.
  uint64_t m_bodyBytesLeft = 0; ///< That the answer may still have.
};

}

#endif
