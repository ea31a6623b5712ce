#ifndef PISTACHIOSHIFT_STANDIN_SERVER_JOB_H
#define PISTACHIOSHIFT_STANDIN_SERVER_JOB_H

#include <memory>
#include <string>

#include "standin/server/Backend.h"

namespace pistachioshift::standin {

/** \brief One request to echo, work, blob, orders or sink. */
class Job final
  : public ServerListener
  , public std::enable_shared_from_this<Job>
{
public:
  Job(Backend& aBackend,
      std::shared_ptr<ServerExchange> aExchange,
      Target aTarget);

  bool IsKnown() const { return m_kind != Kind::kUnknown; }
  const RoutingHeaders& Routing() const { return m_routing; }
  RecordLine Line() const;

  /** \brief Pauses the body until Run; only a cancellation is handled. */
  void WaitForSlot();

  /** \brief Occupies a slot until the response ends or is cancelled. */
  void Run();

  void Refuse(int aStatus, const std::string& aReason);

  void OnBody(std::string_view aData) override;
  void OnBodyEnd() override;
  void OnDrained() override;
  void OnAborted(AbortReason aReason) override;

private:
  enum class Kind
  {
    kEcho,
    kWork,
    kBlob,
    kOrders,
    kSink,
    kUnknown,
  };

  static Kind ParseKind(const std::string& aMethod, const std::string& aPath);
  static void HandleTimer(evutil_socket_t aSocket, short aWhat, void* aJob);
  void AnswerIfReady();
  void StartBlob();
  void SendBlob();
  void End(Outcome aOutcome);

  Backend& m_backend;
  std::shared_ptr<ServerExchange> m_exchange;
  Target m_target;
  RoutingHeaders m_routing;
  Kind m_kind;
  internal::EventPtr m_timer;
  std::string m_echo;
  size_t m_bodyBytes = 0;
  size_t m_line = 0;
  uint64_t m_blobNext = 0;
  uint64_t m_blobEnd = 0;
  bool m_running = false;
  bool m_workDone = false;
  bool m_bodyEnded = false;
};

}

#endif
