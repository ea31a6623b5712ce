#ifndef PISTACHIOSHIFT_CTL_DOCUMENTSESSION_H
#define PISTACHIOSHIFT_CTL_DOCUMENTSESSION_H

#include <map>
#include <optional>
#include <string>
#include <variant>

#include "Pistachioshift/Document"
#include "Pistachioshift/Log"
#include "src/Ctl/EventLoop.h"

namespace pistachioshift {

/** \brief Certainly not written. */
struct EditNotWritten
{
  std::string reason;
};

/** \brief Perhaps written; the verdict wasn't seen in time. */
struct EditUnknown
{};

using EditOutcome = std::variant<EditVerdict, EditNotWritten, EditUnknown>;

/** \brief Follows the stream `document` for the length of one command. */
class DocumentSession
{
public:
  /**
   * \brief Reads the document through the end of the stream.
   * \throws UnreachableError if that takes longer than aTimeout.
   */
  DocumentSession(const Endpoint& aLog, Duration aTimeout);

  const DocumentState& State() const { return m_state; }

  /** \brief Last offset read, of whichever kind of record. */
  Offset ReadThrough() const { return m_task->Applied(); }

  /** \brief Text of a version that was read or is remembered. */
  std::optional<std::string> TextOf(const SectionName& aSection,
                                    Offset aVersion) const;

  /** \brief Random identity for an edit. */
  RecordId DrawId();

  /** \brief Appends a signed edit and reads its verdict back. */
  EditOutcome Submit(const DocumentEdit& aEdit);

private:
  void OnRecord(const LogRecord& aRecord);
  void OnCheckpoint(const std::string& aState);
  std::optional<EditVerdict> RememberedVerdict(const DocumentEdit& aEdit) const;

  Duration m_timeout;
  SystemClock m_clock;
  RandomEngine m_random;
  EventLoop m_loop;
  HttpLogService m_service;
  DocumentState m_state;
  std::map<Offset, SectionText> m_texts; ///< Accepted ones, by version.
  std::optional<RecordId> m_awaited;
  std::optional<EditVerdict> m_verdict;
  bool m_caughtUp = false;
  std::unique_ptr<LogTask> m_task;
};

}

#endif
