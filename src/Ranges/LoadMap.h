#ifndef PISTACHIOSHIFT_RANGES_LOADMAP_H
#define PISTACHIOSHIFT_RANGES_LOADMAP_H

#include <vector>

#include "src/Ranges/KeyRange.h"

namespace pistachioshift {

/** \brief Load of a range, assumed to be uniform over its keys. */
struct LoadBucket
{
  KeyRange range;
  double load = 0.0; ///< Requests per second.

  bool operator==(const LoadBucket&) const = default;
};

/** \brief Key and its load in requests per second. */
struct KeyLoad
{
  uint32_t key = 0;
  double load = 0.0;
};

/**
 * \brief Load of a service by key. Performs no I/O.
 *
 * A small uniform load is added to all keys, so that ranges without reported
 * load are weighted by their size.
 */
class LoadMap
{
public:
  /** \param aUniformLoad total load of all keys, on top of the buckets. */
  explicit LoadMap(double aUniformLoad = 1.0);

  /** \brief Adds buckets. The loads of buckets that overlap add up. */
  void Add(const std::vector<LoadBucket>& aBuckets);

  /** \brief Multiplies the load of all keys by a factor. */
  void Scale(double aFactor);

  double LoadOf(const KeyRange& aRange) const;

  /** \brief Part of the load of a number of keys that was not reported. */
  double UniformLoadOf(double aKeys) const
  {
    return m_uniformLoad * aKeys / kShardKeys;
  }

  /**
   * \brief Splits a range into contiguous pieces of about equal load.
   * \return at most `aPieces` pieces; fewer if the range has fewer keys.
   */
  std::vector<KeyRange> Split(const KeyRange& aRange, uint32_t aPieces) const;

  /**
   * \brief Last key of the piece that begins at `aRange.first` and whose load
   * is closest to `aLoad`. A piece has at least one key and ends at
   * `aRange.last` at the latest.
   */
  uint32_t LastKeyForLoad(const KeyRange& aRange, double aLoad) const;

  /** \brief The first of the keys of a range that have the most load. */
  KeyLoad HottestKey(const KeyRange& aRange) const;

private:
  /** Load from a key up to the next step. */
  struct Step
  {
    uint32_t key = 0;
    double loadBefore = 0.0; ///< Load of all keys below this one.
    double loadPerKey = 0.0;
  };

  std::vector<Step>::const_iterator StepOf(uint32_t aKey) const;
  double LoadBelow(uint32_t aKey) const;

  double m_uniformLoad;
  std::vector<Step> m_steps; ///< Sorted by key; the first is at key 0.
};

}

#endif
