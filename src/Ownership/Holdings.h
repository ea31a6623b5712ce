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

/** \brief The entries that one daemon holds, and when each of them ends. */
class Holdings
{
public:
  explicit Holdings(DaemonId aSelf);

  void Start(const EntryKey& aKey, FenceToken aToken, MonoTime aNotBefore);

  /** \brief Splits a pin off its range in place; false: range not held. */
  bool SplitPin(const EntryKey& aPin, const OwnershipView& aView);

  /** \brief Marks it stopping; false if it isn't held or is already. */
  bool Stop(const EntryKey& aKey);

  /** \brief Ends it once nothing runs; false if it wasn't stopping. */
  bool Release(const EntryKey& aKey);

  /** \brief Moves starts that lay after `aSince` by that much. */
  void DelayStarts(MonoTime aSince, Duration aBy);

  const Holding* Find(const EntryKey& aKey) const;

  /** \brief Offset of the change that ends a held entry; none yet: nullopt. */
  std::optional<Offset> EndOf(const EntryKey& aKey,
                              const OwnershipView& aView) const;

  /** \brief R2: nothing below the item's offset is held, or can be again. */
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
