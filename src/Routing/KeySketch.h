#ifndef PISTACHIOSHIFT_ROUTING_KEYSKETCH_H
#define PISTACHIOSHIFT_ROUTING_KEYSKETCH_H

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pistachioshift {

/** \brief Estimate for a key; its true weight is in [weight - error, weight].
 */
struct KeyWeight
{
  std::string key;
  double weight = 0.0;
  double error = 0.0;

  double LowerBound() const { return weight - error; }
};

/**
 * \brief Heaviest keys of a stream in bounded memory (space-saving algorithm).
 *
 * With capacity c and total weight t, each estimate exceeds the true weight by
 * at most t / c, and each key heavier than t / c is in the sketch. Decay()
 * scales all weights, which makes them sums over an exponentially decaying
 * window.
 */
class KeySketch
{
public:
  /** \param aCapacity number of keys in the sketch, at least 1. */
  explicit KeySketch(size_t aCapacity);

  /** \param aWeight service time of a request for the key; more than 0. */
  void Add(std::string_view aKey, double aWeight);

  /** \param aFactor for all weights; more than 0, at most 1. */
  void Decay(double aFactor);

  /** \brief The heaviest keys, heaviest first. */
  std::vector<KeyWeight> Top(size_t aCount) const;

  double Total() const { return m_total * m_scale; }
  size_t Size() const { return m_index.size(); }

private:
  struct Counter
  {
    std::string key;
    double error = 0.0;
  };

  struct StringHash
  {
    using is_transparent = void; // NOLINT(readability-identifier-naming)

    size_t operator()(std::string_view aText) const
    {
      return std::hash<std::string_view>()(aText);
    }
  };

  using Counters = std::multimap<double, Counter>;
  using CounterIndex = std::
    unordered_map<std::string, Counters::iterator, StringHash, std::equal_to<>>;

  void Increase(CounterIndex::iterator aPosition, double aWeight);
  void ReplaceLightest(std::string_view aKey, double aWeight);
  void Rescale();

  size_t m_capacity;
  Counters m_counters; ///< By weight, not yet multiplied by m_scale.
  CounterIndex m_index;
  double m_total = 0.0; ///< Not yet multiplied by m_scale.
  double m_scale = 1.0;
};

}

#endif
