#ifndef PISTACHIOSHIFT_DOCUMENT_DIFF_H
#define PISTACHIOSHIFT_DOCUMENT_DIFF_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pistachioshift {

/** \brief Whether a line stands in both texts or only in one. */
enum class DiffKind
{
  kSame,
  kRemoved,
  kAdded,
};

/** \brief One line of a comparison; its number counts from 1 in its text. */
struct DiffLine
{
  DiffKind kind = DiffKind::kSame;
  uint32_t line = 0; ///< In the new text, of removed lines in the old one.
  std::string text;

  bool operator==(const DiffLine&) const = default;
};

/**
 * \brief Compares two texts line by line by their longest common subsequence.
 * \return all lines in order; both texts can be read off them again.
 */
std::vector<DiffLine> DiffLines(std::string_view aOld, std::string_view aNew);

/**
 * \brief The changed lines with up to aContext same ones around them.
 *
 * Each line is a sign, its number and the text; left out ones show as `...`.
 */
std::string FormatDiff(const std::vector<DiffLine>& aLines, size_t aContext);

}

#endif
