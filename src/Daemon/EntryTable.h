#ifndef PISTACHIOSHIFT_DAEMON_ENTRYTABLE_H
#define PISTACHIOSHIFT_DAEMON_ENTRYTABLE_H

#include <map>
#include <optional>

#include "src/Base/Clock.h"
#include "src/Ownership/Node.h"
#include "src/Ownership/Records.h"

namespace pistachioshift {

/**
 * \brief The entries held here, what runs under them, and where those that
 * were handed over went. Pure.
 */
class EntryTable
{
public:
  void Started(const EntryStarted& aStarted);
  void Stopping(const EntryStopping& aStopping);

  /** \brief This incarnation is over: nothing is held any more. */
  void Clear();

  /** \brief Whether a request may start, as far as this table knows. */
  bool MayStart(const EntryKey& aKey, MonoTime aNow) const;

  /** \brief A request was started. */
  void RequestStarted(const EntryKey& aKey);

  /** \brief A started request ended. */
  void RequestEnded(const EntryKey& aKey);

  /**
   * \brief Forgets an entry that is stopping and under which nothing runs.
   * \return its token, if it was forgotten now.
   */
  std::optional<FenceToken> RemoveIfIdle(const EntryKey& aKey, MonoTime aNow);

  /** \brief Time at which an entry may be served; now if not known. */
  MonoTime ServableFrom(const EntryKey& aKey, MonoTime aNow) const;

  /** \brief Whether the entry is stopping or went elsewhere a while ago. */
  bool IsStoppingOrHandedOver(const EntryKey& aKey, MonoTime aNow) const;

  /** \brief Daemon that took or takes over the entry, if known. */
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
