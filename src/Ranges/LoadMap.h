#ifndef PISTACHIOSHIFT_RANGES_LOADMAP_H
#define PISTACHIOSHIFT_RANGES_LOADMAP_H

#include <vector>

#include "src/Ranges/KeyRange.h"

namespace pistachioshift {

/** \brief Load of neighbouring keys, spread evenly over them. */
struct LoadBucket
{
  KeyRange range;
  double load = 0.0; ///< Requests a second.

  bool operator==(const LoadBucket&) const = default;
};

/**
 * \brief Load of a service by key. Pure.
 *
 * Keys without a bucket carry a small even load, so that ranges of which
 * nothing is known count by their size.
 */
class LoadMap
{
public:
  /** \param aEvenLoad of all keys together, besides the buckets. */
  explicit LoadMap(double aEvenLoad = 1.0)
    : m_evenLoad(aEvenLoad)
  {
  }

  /** \brief Adds buckets; those of one call must not overlap others. */
  void Add(const std::vector<LoadBucket>& aBuckets);

  double LoadOf(const KeyRange& aRange) const;

  /**
   * \brief Cuts a range into neighbouring pieces of about the same load.
   * \return at most `aPieces`, fewer if there are not as many keys.
   */
  std::vector<KeyRange> Split(const KeyRange& aRange, uint32_t aPieces) const;

  /**
   * \brief Last key of the piece that begins at `aRange.first` and carries
   * about `aLoad`; at least one key, never past `aRange.last`.
   */
  uint32_t LastKeyForLoad(const KeyRange& aRange, double aLoad) const;

private:
  double m_evenLoad;
  std::vector<LoadBucket> m_buckets; ///< Sorted, not overlapping.
};

}

#endif
