#include "test/Ownership/TraceSupport.h"

#include <fmt/format.h>

namespace pistachioshift {

std::string
Describe(const EntryKey& aKey)
{
  return fmt::format(
    "{}/{}/{}", aKey.service.Value(), aKey.range.Value(), aKey.pinnedKey);
}

namespace {

/** \brief Describes a record in one line. */
struct DescribeRecord
{
  std::string operator()(const JoinRecord& aRecord) const
  {
    return fmt::format("join {}", aRecord.host.Value());
  }
  std::string operator()(const LeavingRecord& aRecord) const
  {
    return fmt::format("leaving {}", aRecord.daemon.Value());
  }
  std::string operator()(const GoneRecord& aRecord) const
  {
    return fmt::format(
      "gone {} by {}", aRecord.daemon.Value(), aRecord.by.Value());
  }
  std::string operator()(const AssignRecord& aRecord) const
  {
    std::string text = "assign";
    for (const auto& item : aRecord.assignments) {
      text += fmt::format(" {} base {} to {}",
                          Describe(item.key),
                          item.base.value_or(Offset()).Value(),
                          item.owner.Value());
      for (const auto successor : item.successors) {
        text += fmt::format(",{}", successor.Value());
      }
    }
    return text;
  }
  std::string operator()(const HeldRecord& aRecord) const
  {
    auto text = fmt::format("held by {}", aRecord.daemon.Value());
    for (const auto& item : aRecord.entries) {
      text += fmt::format(" {} ({},{})",
                          Describe(item.key),
                          item.entry.Value(),
                          item.rank.Value());
    }
    return text;
  }
  std::string operator()(const WitnessSetRecord& aRecord) const
  {
    auto text = fmt::format("witnesses of {}:", aRecord.leaseholder.Value());
    for (const auto witness : aRecord.witnesses) {
      text += fmt::format(" {}", witness.Value());
    }
    return text;
  }
  std::string operator()(const WitnessSetSwitchedRecord& aRecord) const
  {
    return fmt::format(
      "switched {} to {}", aRecord.leaseholder.Value(), aRecord.set.Value());
  }
  std::string operator()(const PassRecord& aRecord) const
  {
    auto text = fmt::format("pass by {}", aRecord.daemon.Value());
    for (const auto& item : aRecord.entries) {
      text += fmt::format(" {} {}", Describe(item.key), item.entry.Value());
    }
    return text;
  }
  std::string operator()(const RetireRecord& aRecord) const
  {
    return fmt::format("retire {}", aRecord.leaseholder.Value());
  }
  std::string operator()(const auto& /*aRecord*/) const { return "other"; }
};

}

std::string
Describe(const OwnershipRecord& aRecord)
{
  return std::visit(DescribeRecord(), aRecord);
}

}
