#ifndef PISTACHIOSHIFT_TEST_LOG_FAKELOGSUPPORT_H
#define PISTACHIOSHIFT_TEST_LOG_FAKELOGSUPPORT_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Pistachioshift/Log"

namespace pistachioshift::test {

/** \brief In-memory log that keeps expired entries for the reference. */
class FakeLog
{
public:
  std::vector<Offset> Append(const std::vector<std::string>& aPayloads);
  ReadAnswer Read(Offset aFrom, uint32_t aMaxRecords) const;
  void Expire(int64_t aCount);

  Offset First() const { return Offset(m_first); }
  Offset End() const { return Offset(static_cast<int64_t>(m_all.size()) + 1); }
  const std::vector<LogEntry>& All() const { return m_all; }

private:
  std::vector<LogEntry> m_all;
  int64_t m_first = 1;
};

/** \brief State of a reader: hash over all applied records, in order. */
struct ChainState
{
  uint64_t hash = 0;
  uint64_t count = 0;

  void Apply(const LogRecord& aRecord);
  std::string Save() const;
  static ChainState Load(const std::string& aBytes);

  bool operator==(const ChainState&) const = default;
};

/** \brief Reference model: replays all entries ever written, without bounds. */
class Oracle
{
public:
  /** \brief Replays the entries written since the last call. */
  void Update(const FakeLog& aLog);

  /** \brief State after the entry at an offset. */
  const ChainState& At(Offset aOffset) const
  {
    return m_states.at(static_cast<size_t>(aOffset.Value()));
  }

  /** \brief Offset of a record's first copy, if it was written. */
  std::optional<Offset> FirstCopy(const RecordId& aId) const;

private:
  std::vector<ChainState> m_states{ ChainState{} };
  std::map<RecordId, Offset> m_first;
};

}

#endif
