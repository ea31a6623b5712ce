#include <algorithm>
#include <map>
#include <numeric>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/Document/DocumentSupport.h"
#include "test/Document/StepGenerator.h"

namespace pistachioshift {
namespace {

using test::AnySteps;
using test::FoundedDocument;
using test::MakeEdit;
using test::ScriptedLog;
using test::ServiceText;
using test::Signed;
using test::WriteLog;

class DocumentReplayTest : public ::testing::Test
{
protected:
  /** \brief Replays the records after the state's offset. */
  static void CatchUp(const ScriptedLog& aLog, DocumentState& aState)
  {
    for (const auto& record : aLog.records) {
      if (record.offset > aState.Applied()) {
        aState.Apply(record.offset, record.edit);
      }
    }
  }

  /** \brief State after the record with this index; before all: empty. */
  static DocumentState StateBefore(const ScriptedLog& aLog, size_t aIndex)
  {
    return aIndex == 0 ? DocumentState() : aLog.states[aIndex - 1];
  }

  static std::vector<ServiceName> Services(const DocumentState& aState)
  {
    std::vector<ServiceName> names;
    for (const auto& [name, policy] : aState.Policies()) {
      names.push_back(name);
    }
    return names;
  }
};

RC_GTEST_FIXTURE_PROP(DocumentReplayTest,
                      Replicas_AnyCheckpointRacingWithEdits_AgreeOnEverything,
                      ())
{
  const auto log = WriteLog(*AnySteps());
  const auto start = *rc::gen::inRange<size_t>(0, log.records.size() + 1);
  auto replica =
    DocumentState::FromSnapshot(StateBefore(log, start).Snapshot());
  for (size_t at = start; at < log.records.size(); ++at) {
    const auto& record = log.records[at];
    RC_ASSERT(replica.Check(record.offset, record.edit) == log.verdicts[at]);
    RC_ASSERT(replica.Apply(record.offset, record.edit) == log.verdicts[at]);
    RC_ASSERT(replica == log.states[at]);
    RC_ASSERT(Services(replica) == Services(log.states[at]));
  }
}

RC_GTEST_FIXTURE_PROP(DocumentReplayTest,
                      Replica_RecordsDeliveredAgain_IgnoresThem,
                      ())
{
  const auto log = WriteLog(*AnySteps());
  DocumentState replica;
  for (size_t at = 0; at < log.records.size(); ++at) {
    replica.Apply(log.records[at].offset, log.records[at].edit);
    const auto& again = log.records[*rc::gen::inRange<size_t>(0, at + 1)];
    const auto verdict = replica.Apply(again.offset, again.edit);
    RC_ASSERT(verdict.result == EditResult::kAlreadyApplied);
    RC_ASSERT(replica == log.states[at]);
  }
}

RC_GTEST_FIXTURE_PROP(DocumentReplayTest,
                      AcceptedEdit_AnyLaterRecords_StaysUntilTheNextAccepted,
                      ())
{
  const auto log = WriteLog(*AnySteps());
  std::map<SectionName, SectionText> expected;
  for (size_t at = 0; at < log.records.size(); ++at) {
    const auto& [offset, edit] = log.records[at];
    if (log.verdicts[at].IsAccepted()) {
      RC_ASSERT(edit.baseVersion == expected[edit.section].version);
      expected[edit.section] = SectionText{ offset, edit.author, edit.text };
    }
    for (const auto& [name, text] : expected) {
      const auto* section = log.states[at].Find(name);
      const bool same =
        section ? section->current == text : text == SectionText{};
      RC_ASSERT(same);
    }
  }
}

RC_GTEST_FIXTURE_PROP(DocumentReplayTest,
                      LaggingReplica_RecordsExpired_NeverGoesBackAndCatchesUp,
                      ())
{
  const auto log = WriteLog(*AnySteps());
  const auto any = rc::gen::inRange<size_t>(0, log.records.size() + 1);
  auto replica = StateBefore(log, *any);
  // Checkpoints found in any order, some older than the replica.
  for (int found = 0; found < 4; ++found) {
    const auto before = replica;
    const auto checkpoint = StateBefore(log, *any).Snapshot();
    const bool advanced = replica.AdvanceTo(checkpoint);
    RC_ASSERT(advanced == (checkpoint.through > before.Applied()));
    RC_ASSERT(replica.Applied() >= before.Applied());
    for (const auto& section : before.Sections()) {
      RC_ASSERT(replica.VersionOf(section.name) >= section.current.version);
    }
  }
  CatchUp(log, replica);
  RC_ASSERT(replica == log.states.back());
}

RC_GTEST_FIXTURE_PROP(DocumentReplayTest,
                      RacingEdits_AnyOrderWithCopies_ExactlyOneWins,
                      ())
{
  const auto count = *rc::gen::inRange<uint64_t>(2, 8);
  std::vector<DocumentEdit> racing;
  for (uint64_t id = 1; id <= count; ++id) {
    const auto text = ServiceText("alpha-" + std::to_string(id));
    auto edit = MakeEdit(id, "alpha", Offset(0), "alpha", text);
    edit.readThrough = Offset(1);
    racing.push_back(Signed(edit));
    racing.push_back(racing.back());
  }
  std::shuffle(racing.begin(),
               racing.end(),
               std::mt19937(*rc::gen::arbitrary<uint32_t>()));
  auto state = FoundedDocument();
  int64_t offset = 1;
  int accepted = 0;
  for (const auto& edit : racing) {
    accepted += state.Apply(Offset(++offset), edit).IsAccepted() ? 1 : 0;
  }
  RC_ASSERT(accepted == 1);
  RC_ASSERT(state.VersionOf(SectionName("alpha")) == Offset(2));
  RC_ASSERT(state.Find(SectionName("alpha"))->current.text ==
            racing.front().text);
}

RC_GTEST_FIXTURE_PROP(DocumentReplayTest,
                      RefusedEdit_CopyAfterAnyNumberOfEdits_IsNeverAccepted,
                      ())
{
  auto state = FoundedDocument();
  const auto taken = ServiceText("shared");
  auto holder = MakeEdit(1, "alpha", Offset(0), "alpha", taken);
  holder.readThrough = Offset(1);
  RC_ASSERT(state.Apply(Offset(2), Signed(holder)).IsAccepted());
  auto refused = MakeEdit(2, "beta", Offset(0), "beta", taken);
  refused.readThrough = Offset(2);
  refused = Signed(refused);
  RC_ASSERT(state.Apply(Offset(3), refused).result == EditResult::kConflict);

  auto release = MakeEdit(3, "alpha", Offset(2), "alpha", "");
  RC_ASSERT(state.Apply(Offset(4), Signed(release)).IsAccepted());
  const auto others = *rc::gen::elementOf(
    std::vector<uint64_t>{ 0, 1, 509, 510, 511, 512, 513, 600 });
  for (uint64_t id = 0; id < others; ++id) {
    // Refused cheaply, but remembered.
    state.Apply(Offset(5 + static_cast<int64_t>(id)),
                MakeEdit(100 + id, "gamma", Offset(0), "nobody", ""));
  }
  const auto copy = state.Apply(Offset(5000), refused);
  const bool known =
    copy.result == EditResult::kDuplicate || copy.result == EditResult::kTooOld;
  RC_ASSERT(known);

  refused.id.sequence = 3000;
  refused.readThrough = Offset(5000);
  RC_ASSERT(state.Apply(Offset(5001), Signed(refused)).IsAccepted());
}

RC_GTEST_FIXTURE_PROP(DocumentReplayTest,
                      SignedEdit_AnyFieldChanged_IsRefusedAsWronglySigned,
                      ())
{
  const auto state = FoundedDocument();
  auto edit =
    MakeEdit(1, "alpha", Offset(0), "alpha", ServiceText("alpha-own"));
  edit.readThrough = Offset(1);
  edit = Signed(edit);
  RC_ASSERT(state.Check(Offset(9), edit).IsAccepted());
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      edit.text.insert(*rc::gen::inRange<size_t>(0, edit.text.size()), " ");
      break;
    case 1:
      edit.id.sequence = *rc::gen::inRange<uint64_t>(2, 1000);
      break;
    case 2:
      edit.id.writer = BootId(*rc::gen::inRange<uint64_t>(8, 1000));
      break;
    case 3:
      edit.readThrough = Offset(*rc::gen::inRange<int64_t>(2, 8));
      break;
    case 4:
      edit.signature[*rc::gen::inRange<size_t>(0, 64)] ^= 1;
      break;
    default:
      edit.signature.resize(*rc::gen::inRange<size_t>(0, 64));
      break;
  }
  RC_ASSERT(state.Check(Offset(9), edit).result == EditResult::kBadSignature);
}

}
}
