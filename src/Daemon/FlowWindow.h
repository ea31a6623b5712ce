#ifndef PISTACHIOSHIFT_DAEMON_FLOWWINDOW_H
#define PISTACHIOSHIFT_DAEMON_FLOWWINDOW_H

#include <cstddef>
#include <cstdint>

namespace pistachioshift {

/** \brief Body bytes that may be on their way on one stream. */
inline constexpr int64_t kStreamWindow = int64_t{ 256 } * 1024;

/** \brief Body bytes in one frame at most. */
inline constexpr size_t kBodyPieceBytes = size_t{ 64 } * 1024;

/** \brief Sender's side of a stream's flow control. */
class SendWindow
{
public:
  /** \brief Takes bytes; the last piece may exceed the window. */
  void Consume(size_t aBytes) { m_left -= static_cast<int64_t>(aBytes); }

  /** \brief \return whether the window has just opened. */
  bool Grant(int64_t aBytes)
  {
    const bool wasOpen = Open();
    m_left += aBytes;
    return !wasOpen && Open();
  }

  bool Open() const { return m_left > 0; }

private:
  int64_t m_left = kStreamWindow;
};

/** \brief Receiver's side: grants what was taken in, unless held back. */
class ReceiveWindow
{
public:
  /** \return bytes to grant to the sender now. */
  int64_t Take(size_t aBytes)
  {
    m_owed += static_cast<int64_t>(aBytes);
    return m_held || m_owed < kStreamWindow / 4 ? 0 : Owed();
  }

  void Hold() { m_held = true; }

  /** \return bytes to grant to the sender now. */
  int64_t Release()
  {
    m_held = false;
    return Owed();
  }

private:
  int64_t Owed()
  {
    const auto owed = m_owed;
    m_owed = 0;
    return owed;
  }

  int64_t m_owed = 0;
  bool m_held = false;
};

}

#endif
