#ifndef PISTACHIOSHIFT_DAEMON_BULKSENDER_H
#define PISTACHIOSHIFT_DAEMON_BULKSENDER_H

#include <memory>
#include <string>
#include <string_view>

#include "src/Daemon/BulkQueue.h"

namespace pistachioshift {

/** \brief Destination of the bytes of one answer. */
class BulkSink
{
public:
  virtual ~BulkSink() = default;

  virtual void SendNow(std::string_view aData) = 0;

  /** \brief All bytes have been sent; the answer is complete. */
  virtual void FinishNow() = 0;
};

/**
 * \brief Sends one answer: the first kDirectBytes at once, the rest through the
 * queue of the host's link.
 */
class BulkSender
  : public BulkSource
  , public std::enable_shared_from_this<BulkSender>
{
public:
  BulkSender(BulkQueue& aQueue, std::weak_ptr<BulkSink> aSink)
    : m_queue(aQueue)
    , m_sink(std::move(aSink))
  {
  }

  void Send(std::string_view aData);

  /** \brief Marks the answer as complete: no Send() follows. */
  void Finish();

  /** \brief Sends all pending bytes at once, regardless of the rate. */
  void Flush();

  size_t SendPiece(size_t aMaxBytes) override;
  size_t PendingBytes() const override { return m_buffer.size() - m_sent; }

private:
  bool MustQueue(size_t aBytes);
  void FinishIfDone();

  BulkQueue& m_queue;
  std::weak_ptr<BulkSink> m_sink;
  size_t m_acceptedBytes = 0; ///< By Send(), if rate-limited.
  std::string m_buffer;       ///< Bytes that wait in the queue.
  size_t m_sent = 0;          ///< Bytes of m_buffer already sent.
  bool m_queued = false;
  bool m_complete = false;
};

}

#endif
