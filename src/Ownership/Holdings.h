#ifndef PISTACHIOSHIFT_OWNERSHIP_HOLDINGS_H
#define PISTACHIOSHIFT_OWNERSHIP_HOLDINGS_H

#include <map>
#include <optional>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Ownership/Messages.h"
#include "src/Ownership/View.h"

namespace pistachioshift::internal {

/** \brief An entry that this daemon holds. */
struct Holding
{
  FenceToken token;
  MonoTime notBefore;
  bool stopping = false;
};

/** \brief The entries that this daemon holds. */
class Holdings
{
public:
  explicit Holdings(DaemonId aSelf);

  void Start(const EntryKey& aKey, FenceToken aToken, MonoTime aNotBefore);

  /** \brief Holds a pinned key with its range's token; false: range not held.
   */
  bool SplitPin(const EntryKey& aPin, const OwnershipView& aView);

  /** \brief Marks an entry as stopping; false if not held or stopping already.
   */
  bool Stop(const EntryKey& aKey);

  /** \brief Removes a stopping entry; false if it was not stopping. */
  bool Release(const EntryKey& aKey);

  /** \brief Postpones by `aBy` all `notBefore` times that are after `aSince`.
   */
  void DelayStarts(MonoTime aSince, Duration aBy);

  const Holding* Find(const EntryKey& aKey) const;

  /** \brief Offset of the change that ends a held entry; nullopt if none does.
   */
  std::optional<Offset> EndOf(const EntryKey& aKey,
                              const OwnershipView& aView) const;

  /** \brief R2: no entry below the item's offset is held or can be again. */
  bool IsReleased(const ReleaseItem& aItem,
                  Offset aAdopted,
                  const OwnershipView& aView) const;

  std::vector<EntryKey> Keys() const;
  bool IsEmpty() const { return m_held.empty(); }

private:
  DaemonId m_self;
  std::map<EntryKey, Holding> m_held;
};

}

#endif
