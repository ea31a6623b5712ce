#include "src/Inner/RecordCodec.h"

#include "src/Document/Verdict.h"
#include "src/Inner/ThriftCodec.h"
#include "src/Inner/WireOwnership.h"

namespace pistachioshift {

namespace internal {
constexpr auto kMaxEditResult =
  static_cast<int32_t>(EditResult::kRangesChanged);

wire::WireSectionText
ToWire(const SectionText& aText)
{
  wire::WireSectionText text;
  text.version = aText.version.Value();
  text.author = aText.author.Value();
  text.text = aText.text;
  return text;
}

SectionText
FromWire(const wire::WireSectionText& aText)
{
  return SectionText{ Offset(aText.version),
                      TeamName(aText.author),
                      aText.text };
}

wire::WireSectionState
ToWire(const SectionState& aState)
{
  wire::WireSectionState state;
  state.name = aState.name.Value();
  state.current = ToWire(aState.current);
  state.previous = ToWire(aState.previous);
  return state;
}

SectionState
FromWire(const wire::WireSectionState& aState)
{
  return SectionState{ SectionName(aState.name),
                       FromWire(aState.current),
                       FromWire(aState.previous) };
}

wire::WireJudgedEdit
ToWire(const JudgedEdit& aEdit)
{
  wire::WireJudgedEdit edit;
  edit.writer = static_cast<int64_t>(aEdit.id.writer.Value());
  edit.sequence = static_cast<int64_t>(aEdit.id.sequence);
  edit.offset = aEdit.offset.Value();
  edit.section = aEdit.section.Value();
  edit.author = aEdit.author.Value();
  edit.result = static_cast<int32_t>(aEdit.result);
  return edit;
}

JudgedEdit
FromWire(const wire::WireJudgedEdit& aEdit)
{
  if (aEdit.result < 0 || aEdit.result > kMaxEditResult) {
    throw InnerError("edit result out of bounds");
  }
  JudgedEdit edit;
  edit.id = RecordId{ BootId(static_cast<uint64_t>(aEdit.writer)),
                      static_cast<uint64_t>(aEdit.sequence) };
  edit.offset = Offset(aEdit.offset);
  edit.section = SectionName(aEdit.section);
  edit.author = TeamName(aEdit.author);
  edit.result = static_cast<EditResult>(aEdit.result);
  return edit;
}

wire::WireDeclaredRanges
ToWire(const DeclaredRanges& aRanges)
{
  wire::WireDeclaredRanges ranges;
  ranges.serviceName = aRanges.service.Value();
  ranges.ranges = static_cast<int32_t>(aRanges.ranges);
  return ranges;
}

DeclaredRanges
FromWire(const wire::WireDeclaredRanges& aRanges)
{
  return DeclaredRanges{ ServiceName(aRanges.serviceName),
                         static_cast<uint32_t>(aRanges.ranges) };
}

wire::WireDocumentEdit
ToWire(const DocumentEdit& aEdit)
{
  wire::WireDocumentEdit edit;
  edit.writer = static_cast<int64_t>(aEdit.id.writer.Value());
  edit.sequence = static_cast<int64_t>(aEdit.id.sequence);
  edit.section = aEdit.section.Value();
  edit.baseVersion = aEdit.baseVersion.Value();
  edit.readThrough = aEdit.readThrough.Value();
  edit.author = aEdit.author.Value();
  edit.text = aEdit.text;
  edit.signature = aEdit.signature;
  return edit;
}

DocumentEdit
FromWire(const wire::WireDocumentEdit& aEdit)
{
  DocumentEdit edit;
  edit.id = RecordId{ BootId(static_cast<uint64_t>(aEdit.writer)),
                      static_cast<uint64_t>(aEdit.sequence) };
  edit.section = SectionName(aEdit.section);
  edit.baseVersion = Offset(aEdit.baseVersion);
  edit.readThrough = Offset(aEdit.readThrough);
  edit.author = TeamName(aEdit.author);
  edit.text = aEdit.text;
  edit.signature = aEdit.signature;
  return edit;
}

wire::WireDocumentSnapshot
ToWire(const DocumentSnapshot& aSnapshot)
{
  wire::WireDocumentSnapshot snapshot;
  snapshot.through = aSnapshot.through.Value();
  snapshot.version = aSnapshot.version.Value();
  snapshot.forgotten = aSnapshot.forgotten.Value();
  snapshot.sections = MapList(aSnapshot.sections,
                              [](const auto& aItem) { return ToWire(aItem); });
  snapshot.ranges =
    MapList(aSnapshot.ranges, [](const auto& aItem) { return ToWire(aItem); });
  snapshot.history =
    MapList(aSnapshot.history, [](const auto& aItem) { return ToWire(aItem); });
  return snapshot;
}

DocumentSnapshot
FromWire(const wire::WireDocumentSnapshot& aSnapshot)
{
  DocumentSnapshot snapshot;
  snapshot.through = Offset(aSnapshot.through);
  snapshot.version = Offset(aSnapshot.version);
  snapshot.forgotten = Offset(aSnapshot.forgotten);
  snapshot.sections = MapList(
    aSnapshot.sections, [](const auto& aItem) { return FromWire(aItem); });
  snapshot.ranges = MapList(aSnapshot.ranges,
                            [](const auto& aItem) { return FromWire(aItem); });
  snapshot.history = MapList(aSnapshot.history,
                             [](const auto& aItem) { return FromWire(aItem); });
  return snapshot;
}

}

using internal::DecodeWire;
using internal::EncodeWire;
using internal::FromWire;
using internal::ToWire;

std::string
EncodeOwnershipRecord(const OwnershipRecord& aRecord)
{
  return EncodeWire(ToWire(aRecord));
}

OwnershipRecord
DecodeOwnershipRecord(std::string_view aBytes)
{
  return FromWire(DecodeWire<wire::WireOwnershipRecord>(aBytes));
}

std::string
EncodeDocumentEdit(const DocumentEdit& aEdit)
{
  return EncodeWire(internal::ToWire(aEdit));
}

DocumentEdit
DecodeDocumentEdit(std::string_view aBytes)
{
  return internal::FromWire(DecodeWire<wire::WireDocumentEdit>(aBytes));
}

std::string
EncodeOwnershipSnapshot(const OwnershipSnapshot& aSnapshot)
{
  return EncodeWire(ToWire(aSnapshot));
}

OwnershipSnapshot
DecodeOwnershipSnapshot(std::string_view aBytes)
{
  return FromWire(DecodeWire<wire::WireOwnershipSnapshot>(
    aBytes, internal::kMaxSnapshotItems));
}

std::string
EncodeDocumentSnapshot(const DocumentSnapshot& aSnapshot)
{
  return EncodeWire(internal::ToWire(aSnapshot));
}

DocumentSnapshot
DecodeDocumentSnapshot(std::string_view aBytes)
{
  return internal::FromWire(DecodeWire<wire::WireDocumentSnapshot>(
    aBytes, internal::kMaxSnapshotItems));
}

}
