#ifndef PISTACHIOSHIFT_DAEMON_ENTRYTABLE_H
#define PISTACHIOSHIFT_DAEMON_ENTRYTABLE_H

#include <map>
#include <optional>

#include "src/Base/Clock.h"
#include "src/Ownership/Node.h"
#include "src/Ownership/Records.h"

namespace pistachioshift {

/**
 * \brief The entries that this daemon holds, the number of requests running
 * under each, and the next holders of entries handed over recently. Pure.
 */
class EntryTable
{
public:
  void Started(const EntryStarted& aStarted);
  void Stopping(const EntryStopping& aStopping);

  /** \brief The incarnation ended: no entry is held any more. */
  void Clear();

  /**
   * \brief Whether a request may start: the entry is held, not stopping, and
   * may be served by now. Doesn't check the lease.
   */
  bool MayStart(const EntryKey& aKey, MonoTime aNow) const;

  /** \brief Counts a request written to the backend server. */
  void RequestStarted(const EntryKey& aKey);

  /** \brief Counts the end of a request given to RequestStarted. */
  void RequestEnded(const EntryKey& aKey);

  /**
   * \brief Removes an entry that is stopping and has no running requests.
   * \return its token if it was removed.
   */
  std::optional<FenceToken> RemoveIfIdle(const EntryKey& aKey, MonoTime aNow);

  /** \brief Time from which an entry may be served; `aNow` if not held. */
  MonoTime ServableFrom(const EntryKey& aKey, MonoTime aNow) const;

  /** \brief Whether the entry is stopping or was handed over recently. */
  bool IsStoppingOrHandedOver(const EntryKey& aKey, MonoTime aNow) const;

  /** \brief Daemon to which the entry was or will be handed over, if known. */
  std::optional<DaemonId> NextHolder(const EntryKey& aKey) const;

private:
  struct EntryState
  {
    FenceToken token;
    MonoTime notBefore;
    uint32_t running = 0; ///< Written to the backend server, not ended.
    bool stopping = false;
    std::optional<DaemonId> next;
  };

  struct Handover
  {
    DaemonId next;
    MonoTime at;
  };

  std::map<EntryKey, EntryState> m_entries;
  std::map<EntryKey, Handover> m_handedOver;
};

}

#endif
