#ifndef PISTACHIOSHIFT_ROUTING_KEYSKETCH_H
#define PISTACHIOSHIFT_ROUTING_KEYSKETCH_H

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pistachioshift {

/** \brief A key of the sketch; its true weight is in [weight - error, weight].
 */
struct KeyWeight
{
  std::string key;
  double weight = 0.0;
  double error = 0.0;

  double LowerBound() const { return weight - error; }
};

/**
 * \brief Heaviest keys of a stream in bounded memory (space-saving).
 *
 * With capacity c and total weight t, each estimate exceeds the true weight by
 * at most t / c, and each key heavier than t / c is held. Decay() scales the
 * past, so weights are those of an exponentially decaying window.
 */
class KeySketch
{
public:
  /** \param aCapacity keys held, at least 1. */
  explicit KeySketch(size_t aCapacity);

  /** \param aWeight service given to the key; more than 0. */
  void Add(std::string_view aKey, double aWeight);

  /** \param aFactor more than 0, at most 1. */
  void Decay(double aFactor);

  /** \brief The heaviest keys, heaviest first. */
  std::vector<KeyWeight> Top(size_t aCount) const;

  double Total() const { return m_total * m_scale; }
  size_t Size() const { return m_places.size(); }

private:
  struct Counter
  {
    std::string key;
    double error = 0.0;
  };

  struct TextHash
  {
    using is_transparent = void; // NOLINT(readability-identifier-naming)

    size_t operator()(std::string_view aText) const
    {
      return std::hash<std::string_view>()(aText);
    }
  };

  using Counters = std::multimap<double, Counter>;
  using Places = std::
    unordered_map<std::string, Counters::iterator, TextHash, std::equal_to<>>;

  void Raise(Places::iterator aPlace, double aWeight);
  void ReplaceLightest(std::string_view aKey, double aWeight);
  void Rescale();

  size_t m_capacity;
  Counters m_counters; ///< By weight, before m_scale.
  Places m_places;
  double m_total = 0.0; ///< Before m_scale.
  double m_scale = 1.0;
};

}

#endif
