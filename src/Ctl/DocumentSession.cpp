#include "src/Ctl/DocumentSession.h"

#include <algorithm>

#include <fmt/format.h>

#include "Pistachioshift/Inner"
#include "src/Ctl/CtlError.h"

namespace pistachioshift {

namespace {

const StreamName kDocumentStream{ "document" };

// Beyond the time at which the task gives up a record that was never sent.
constexpr Duration kGrace = std::chrono::seconds(1);

}

DocumentSession::DocumentSession(const Endpoint& aLog, Duration aTimeout)
  : m_timeout(aTimeout)
  , m_random(MakeRandomEngine(ReadSeedSources()))
  , m_service(m_loop.Base(), HttpLogOptions{ aLog })
{
  LogTaskOptions options;
  options.stream = kDocumentStream;
  options.writer = BootId(m_random());
  LogTaskHandlers handlers;
  handlers.record = [this](const LogRecord& aRecord) { OnRecord(aRecord); };
  handlers.loadState = [this](const std::string& aState) {
    OnCheckpoint(aState);
  };
  handlers.saveState = [this] {
    return EncodeDocumentSnapshot(m_state.Snapshot());
  };
  handlers.caughtUp = [this] { m_caughtUp = true; };
  m_task = std::make_unique<LogTask>(m_loop.Base(),
                                     m_service,
                                     m_clock,
                                     RandomEngine(m_random()),
                                     std::move(options),
                                     std::move(handlers));
  m_task->Start();
  if (!m_loop.RunUntil([this] { return m_caughtUp; }, m_timeout)) {
    throw UnreachableError(fmt::format(
      "the log service at {}:{} gave no answer within {} s",
      aLog.address,
      aLog.port,
      std::chrono::duration_cast<std::chrono::seconds>(m_timeout).count()));
  }
}

std::optional<std::string>
DocumentSession::TextOf(const SectionName& aSection, Offset aVersion) const
{
  if (const auto* section = m_state.Find(aSection)) {
    for (const auto* text : { &section->current, &section->previous }) {
      if (text->version == aVersion) {
        return text->text;
      }
    }
  }
  const auto found = m_texts.find(aVersion);
  if (found == m_texts.end()) {
    return std::nullopt;
  }
  return found->second.text;
}

RecordId
DocumentSession::DrawId()
{
  return RecordId{ BootId(m_random()), m_random() };
}

EditOutcome
DocumentSession::Submit(const DocumentEdit& aEdit)
{
  m_awaited = aEdit.id;
  // Shared, as the task may still call back after this function's end.
  const auto written = std::make_shared<std::optional<SubmitResult>>();
  m_task->Submit(
    EncodeDocumentEdit(aEdit),
    [written](const RecordId&, SubmitResult aResult) {
      *written = std::move(aResult);
    },
    m_clock.Now() + m_timeout);
  m_loop.RunUntil([&] { return m_verdict || *written; }, m_timeout + kGrace);
  if (m_verdict) {
    return *m_verdict;
  }
  if (!*written) {
    return EditUnknown{};
  }
  if (const auto* failed = std::get_if<SubmitNotWritten>(&**written)) {
    return EditNotWritten{ failed->reason };
  }
  // Only a checkpoint showed the record; the history has its result.
  if (auto verdict = RememberedVerdict(aEdit)) {
    return *std::move(verdict);
  }
  return EditUnknown{};
}

void
DocumentSession::OnRecord(const LogRecord& aRecord)
{
  try {
    const auto edit = DecodeDocumentEdit(aRecord.body);
    const auto verdict = m_state.Apply(aRecord.offset, edit);
    if (verdict.IsAccepted()) {
      m_texts[aRecord.offset] =
        SectionText{ aRecord.offset, edit.author, edit.text };
    }
    const bool own = m_awaited == edit.id;
    if (own && !m_verdict) {
      m_verdict = verdict;
    }
  } catch (const InnerError&) {
    m_state.Skip(aRecord.offset);
  }
}

void
DocumentSession::OnCheckpoint(const std::string& aState)
{
  m_state.AdvanceTo(DecodeDocumentSnapshot(aState));
}

std::optional<EditVerdict>
DocumentSession::RememberedVerdict(const DocumentEdit& aEdit) const
{
  const auto& history = m_state.History();
  const auto found = std::find_if(
    history.begin(), history.end(), [&](const JudgedEdit& aJudged) {
      return aJudged.id == aEdit.id;
    });
  if (found == history.end()) {
    return std::nullopt;
  }
  EditVerdict verdict;
  verdict.result = found->result;
  verdict.section = aEdit.section;
  verdict.offset = found->offset;
  verdict.inForce = m_state.VersionOf(aEdit.section);
  verdict.message = fmt::format("section '{}': {} at offset {}",
                                aEdit.section.Value(),
                                EditResultName(found->result),
                                found->offset.Value());
  return verdict;
}

}
