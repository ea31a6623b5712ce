#ifndef PISTACHIOSHIFT_DAEMON_FLOWWINDOW_H
#define PISTACHIOSHIFT_DAEMON_FLOWWINDOW_H

#include <cstddef>
#include <cstdint>

namespace pistachioshift {

/** \brief Body bytes that may be in flight on one stream. */
inline constexpr int64_t kStreamWindow = int64_t{ 256 } * 1024;

/** \brief Maximum number of body bytes in one frame. */
inline constexpr size_t kBodyPieceBytes = size_t{ 64 } * 1024;

/** \brief Sender's side of a stream's flow control. */
class SendWindow
{
public:
  /** \param aBytes that may be sent before the first credit. */
  explicit SendWindow(int64_t aBytes = kStreamWindow)
    : m_remaining(aBytes)
  {
  }

  /** \brief Accounts for sent bytes; the last piece may exceed the window. */
  void Consume(size_t aBytes) { m_remaining -= static_cast<int64_t>(aBytes); }

  /**
   * \brief Adds credit granted by the receiver.
   * \return whether the window was closed and is open now.
   */
  bool AddCredit(int64_t aBytes)
  {
    const bool wasOpen = IsOpen();
    m_remaining += aBytes;
    return !wasOpen && IsOpen();
  }

  bool IsOpen() const { return m_remaining > 0; }

private:
  int64_t m_remaining;
};

/**
 * \brief Receiver's side of a stream's flow control: grants the received bytes
 * to the sender as new credit, unless paused.
 */
class ReceiveWindow
{
public:
  /**
   * \brief Accounts for received bytes. Credit is granted from a quarter of the
   * window on.
   * \return bytes to grant to the sender now.
   */
  int64_t OnReceived(size_t aBytes)
  {
    m_ungranted += static_cast<int64_t>(aBytes);
    return m_paused || m_ungranted < kStreamWindow / 4 ? 0 : TakeUngranted();
  }

  /** \brief Grants nothing until Resume(). */
  void Pause() { m_paused = true; }

  /** \return bytes to grant to the sender now. */
  int64_t Resume()
  {
    m_paused = false;
    return TakeUngranted();
  }

private:
  int64_t TakeUngranted()
  {
    const auto ungranted = m_ungranted;
    m_ungranted = 0;
    return ungranted;
  }

  int64_t m_ungranted = 0; ///< Bytes received but not granted yet.
  bool m_paused = false;
};

}

#endif
