#include "src/Ctl/RecordText.h"

#include <fmt/format.h>

#include "Pistachioshift/Document"
#include "Pistachioshift/Inner"
#include "Pistachioshift/Log"

namespace pistachioshift {

namespace {

std::string
DescribeKey(const EntryKey& aKey)
{
  return aKey.pinnedKey.empty()
           ? fmt::format("{}/{}", aKey.service.Value(), aKey.range.Value())
           : fmt::format("{}/{}/{}",
                         aKey.service.Value(),
                         aKey.range.Value(),
                         aKey.pinnedKey);
}

/** \brief One text per kind of ownership record. */
struct OwnershipText
{
  std::string operator()(const JoinRecord& aRecord) const
  {
    return fmt::format("join host {} zone {} inner {}:{}",
                       aRecord.host.Value(),
                       aRecord.zone.Value(),
                       aRecord.inner.address,
                       aRecord.inner.port);
  }

  std::string operator()(const LeavingRecord& aRecord) const
  {
    return fmt::format("leaving daemon {}", aRecord.daemon.Value());
  }

  std::string operator()(const GoneRecord& aRecord) const
  {
    return fmt::format(
      "gone daemon {} by {}", aRecord.daemon.Value(), aRecord.by.Value());
  }

  std::string operator()(const PlannerTermRecord& aRecord) const
  {
    return fmt::format("planner-term daemon {} replaces {}",
                       aRecord.planner.Value(),
                       aRecord.replaces.Value());
  }

  std::string operator()(const AssignRecord& aRecord) const
  {
    std::string text = fmt::format("assign term {}", aRecord.term.Value());
    for (const auto& item : aRecord.assignments) {
      text += fmt::format(" {}={}", DescribeKey(item.key), item.owner.Value());
    }
    return text;
  }

  std::string operator()(const PinRecord& aRecord) const
  {
    return "pin" + DescribeKeys(aRecord.keys);
  }

  std::string operator()(const UnpinRecord& aRecord) const
  {
    return "unpin" + DescribeKeys(aRecord.keys);
  }

  std::string operator()(const HeldRecord& aRecord) const
  {
    auto text = fmt::format("held daemon {}", aRecord.daemon.Value());
    for (const auto& item : aRecord.entries) {
      text += fmt::format(" {}@{}.{}",
                          DescribeKey(item.key),
                          item.entry.Value(),
                          item.rank.Value());
    }
    return text;
  }

  std::string operator()(const WitnessSetRecord& aRecord) const
  {
    auto text =
      fmt::format("guardians ward {} of", aRecord.leaseholder.Value());
    for (const auto guardian : aRecord.witnesses) {
      text += fmt::format(" {}", guardian.Value());
    }
    return text;
  }

  std::string operator()(const WitnessSetSwitchedRecord& aRecord) const
  {
    return fmt::format("guardians-switched ward {} set {}",
                       aRecord.leaseholder.Value(),
                       aRecord.set.Value());
  }

  std::string operator()(const PassRecord& aRecord) const
  {
    auto text = fmt::format("pass daemon {}", aRecord.daemon.Value());
    for (const auto& item : aRecord.entries) {
      text += fmt::format(" {}@{}", DescribeKey(item.key), item.entry.Value());
    }
    return text;
  }

  std::string operator()(const RetireRecord& aRecord) const
  {
    return fmt::format("retire ward {} set {}",
                       aRecord.leaseholder.Value(),
                       aRecord.set.Value());
  }

private:
  static std::string DescribeKeys(const std::vector<EntryKey>& aKeys)
  {
    std::string text;
    for (const auto& key : aKeys) {
      text += " " + DescribeKey(key);
    }
    return text;
  }
};

std::string
DescribeEdit(const std::string& aBody)
{
  const auto edit = DecodeDocumentEdit(aBody);
  return fmt::format("edit section {} base {} author {} bytes {}",
                     edit.section.Value(),
                     edit.baseVersion.Value(),
                     edit.author.Value(),
                     edit.text.size());
}

std::string
DescribeBody(const StreamName& aStream, const std::string& aBody)
{
  if (aStream == StreamName("document")) {
    return DescribeEdit(aBody);
  }
  if (aStream == StreamName("ownership")) {
    return std::visit(OwnershipText{}, DecodeOwnershipRecord(aBody));
  }
  return fmt::format("bytes {}", aBody.size());
}

std::string
DescribePayload(const StreamName& aStream, const std::string& aPayload)
{
  const auto envelope = DecodeEnvelope(aPayload);
  const auto id =
    fmt::format("{:016x}-{}", envelope.id.writer.Value(), envelope.id.sequence);
  if (envelope.chunk) {
    return fmt::format("{} checkpoint through {} part {} of {}",
                       id,
                       envelope.chunk->through.Value(),
                       envelope.chunk->index + 1,
                       envelope.chunk->count);
  }
  return fmt::format("{} {}", id, DescribeBody(aStream, envelope.body));
}

}

std::string
DescribeEntry(const StreamName& aStream, const LogEntry& aEntry)
{
  try {
    return fmt::format(
      "{} {}", aEntry.offset.Value(), DescribePayload(aStream, aEntry.payload));
  } catch (const Error& error) {
    return fmt::format(
      "{} undecodable: {}", aEntry.offset.Value(), error.what());
  }
}

}
