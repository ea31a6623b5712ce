#include "src/Log/WriterMarks.h"

namespace pistachioshift {

WriterMarks::WriterMarks(size_t aMaxWriters)
  : m_maxWriters(aMaxWriters)
{
}

bool
WriterMarks::Admit(const RecordId& aId, Offset aOffset)
{
  if (Contains(aId)) {
    return false;
  }
  Put(WriterMark{ aId.writer, aId.sequence, aOffset });
  return true;
}

bool
WriterMarks::Contains(const RecordId& aId) const
{
  const auto found = m_last.find(aId.writer);
  return found != m_last.end() && aId.sequence <= found->second.sequence;
}

std::vector<WriterMark>
WriterMarks::Marks() const
{
  std::vector<WriterMark> marks;
  marks.reserve(m_byOffset.size());
  for (const auto& [offset, writer] : m_byOffset) {
    marks.push_back(WriterMark{ writer, m_last.at(writer).sequence, offset });
  }
  return marks;
}

void
WriterMarks::Load(const std::vector<WriterMark>& aMarks)
{
  m_last.clear();
  m_byOffset.clear();
  for (const auto& mark : aMarks) {
    Put(mark);
  }
}

void
WriterMarks::Put(const WriterMark& aMark)
{
  const auto found = m_last.find(aMark.writer);
  if (found != m_last.end()) {
    m_byOffset.erase(found->second.offset);
  }
  m_last[aMark.writer] = Last{ aMark.sequence, aMark.offset };
  m_byOffset[aMark.offset] = aMark.writer;
  if (m_last.size() > m_maxWriters) {
    const auto oldest = m_byOffset.begin();
    m_last.erase(oldest->second);
    m_byOffset.erase(oldest);
  }
}

}
