#include "src/Document/Diff.h"

#include <algorithm>

#include <fmt/format.h>

namespace pistachioshift {

namespace {

using Lines = std::vector<std::string_view>;

// Above it the changed part is shown as replaced as a whole.
constexpr size_t kMaxTableCells = size_t{ 4 } * 1024 * 1024;

Lines
SplitLines(std::string_view aText)
{
  Lines lines;
  while (!aText.empty()) {
    const auto end = aText.find('\n');
    lines.push_back(aText.substr(0, end));
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
  }
  return lines;
}

// Cell (o, n) is the longest common subsequence of the lines from o and n on.
// Common ends are cut off first, so the table stays small for usual edits.
class CommonTable
{
public:
  CommonTable(const Lines& aOld, const Lines& aNew)
    : m_width(aNew.size() + 1)
    , m_cells((aOld.size() + 1) * m_width)
  {
    for (size_t o = aOld.size(); o-- > 0;) {
      for (size_t n = aNew.size(); n-- > 0;) {
        Cell(o, n) = aOld[o] == aNew[n] ? At(o + 1, n + 1) + 1
                                        : std::max(At(o + 1, n), At(o, n + 1));
      }
    }
  }

  uint32_t At(size_t aOld, size_t aNew) const
  {
    return m_cells[aOld * m_width + aNew];
  }

private:
  uint32_t& Cell(size_t aOld, size_t aNew)
  {
    return m_cells[aOld * m_width + aNew];
  }

  size_t m_width;
  std::vector<uint32_t> m_cells;
};

void
Add(std::vector<DiffLine>& aLines,
    DiffKind aKind,
    size_t aIndex,
    std::string_view aText)
{
  aLines.push_back(
    DiffLine{ aKind, static_cast<uint32_t>(aIndex + 1), std::string(aText) });
}

size_t
CommonPrefix(const Lines& aOld, const Lines& aNew)
{
  const auto [end, other] =
    std::mismatch(aOld.begin(), aOld.end(), aNew.begin(), aNew.end());
  return static_cast<size_t>(end - aOld.begin());
}

size_t
CommonSuffix(const Lines& aOld, const Lines& aNew, size_t aPrefix)
{
  const auto most = std::min(aOld.size(), aNew.size()) - aPrefix;
  size_t length = 0;
  while (length < most &&
         aOld[aOld.size() - 1 - length] == aNew[aNew.size() - 1 - length]) {
    ++length;
  }
  return length;
}

void
AddReplaced(std::vector<DiffLine>& aLines,
            const Lines& aOld,
            const Lines& aNew,
            size_t aPrefix)
{
  for (size_t o = 0; o < aOld.size(); ++o) {
    Add(aLines, DiffKind::kRemoved, aPrefix + o, aOld[o]);
  }
  for (size_t n = 0; n < aNew.size(); ++n) {
    Add(aLines, DiffKind::kAdded, aPrefix + n, aNew[n]);
  }
}

void
AddMiddle(std::vector<DiffLine>& aLines,
          const Lines& aOld,
          const Lines& aNew,
          size_t aPrefix)
{
  if (aOld.size() * aNew.size() > kMaxTableCells) {
    AddReplaced(aLines, aOld, aNew, aPrefix);
    return;
  }
  const CommonTable table(aOld, aNew);
  size_t o = 0;
  size_t n = 0;
  while (o < aOld.size() || n < aNew.size()) {
    const bool both = o < aOld.size() && n < aNew.size();
    if (both && aOld[o] == aNew[n]) {
      Add(aLines, DiffKind::kSame, aPrefix + n, aNew[n]);
      ++o;
      ++n;
    } else if (n == aNew.size() ||
               (both && table.At(o + 1, n) >= table.At(o, n + 1))) {
      Add(aLines, DiffKind::kRemoved, aPrefix + o, aOld[o]);
      ++o;
    } else {
      Add(aLines, DiffKind::kAdded, aPrefix + n, aNew[n]);
      ++n;
    }
  }
}

bool
IsNearChange(const std::vector<DiffLine>& aLines, size_t aAt, size_t aContext)
{
  const auto first = aAt > aContext ? aAt - aContext : 0;
  const auto last = std::min(aLines.size(), aAt + aContext + 1);
  return std::any_of(
    aLines.begin() + static_cast<std::ptrdiff_t>(first),
    aLines.begin() + static_cast<std::ptrdiff_t>(last),
    [](const DiffLine& aLine) { return aLine.kind != DiffKind::kSame; });
}

char
SignOf(DiffKind aKind)
{
  switch (aKind) {
    case DiffKind::kSame:
      return ' ';
    case DiffKind::kRemoved:
      return '-';
    case DiffKind::kAdded:
      return '+';
  }
  return ' ';
}

}

std::vector<DiffLine>
DiffLines(std::string_view aOld, std::string_view aNew)
{
  const auto before = SplitLines(aOld);
  const auto after = SplitLines(aNew);
  const auto prefix = CommonPrefix(before, after);
  const auto suffix = CommonSuffix(before, after, prefix);
  const auto middle = [&](const Lines& aLines) {
    return Lines(aLines.begin() + static_cast<std::ptrdiff_t>(prefix),
                 aLines.end() - static_cast<std::ptrdiff_t>(suffix));
  };
  std::vector<DiffLine> lines;
  for (size_t index = 0; index < prefix; ++index) {
    Add(lines, DiffKind::kSame, index, after[index]);
  }
  AddMiddle(lines, middle(before), middle(after), prefix);
  for (size_t index = after.size() - suffix; index < after.size(); ++index) {
    Add(lines, DiffKind::kSame, index, after[index]);
  }
  return lines;
}

std::string
FormatDiff(const std::vector<DiffLine>& aLines, size_t aContext)
{
  std::string text;
  bool skipping = false;
  for (size_t at = 0; at < aLines.size(); ++at) {
    if (!IsNearChange(aLines, at, aContext)) {
      text += skipping ? "" : "...\n";
      skipping = true;
      continue;
    }
    skipping = false;
    const auto& line = aLines[at];
    text +=
      fmt::format("{}{:>4} {}\n", SignOf(line.kind), line.line, line.text);
  }
  return text;
}

}
