#include <malloc.h>

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "Pistachioshift/Ownership"
#include "src/Ownership/WitnessSelection.h"

namespace pistachioshift {
namespace {

constexpr size_t kMembers = 460;
constexpr uint32_t kEntries = 30000;
constexpr uint32_t kZones = 7;
constexpr uint32_t kLeaseholderEntries = 64;
constexpr uint32_t kEntriesPerRecord = 50;

const ServiceName kService{ "registry" };

/** \brief A stream of records and the view of them. */
struct Stream
{
  Offset Append(OwnershipRecord aRecord)
  {
    const Offset offset(static_cast<int64_t>(records.size()) + 1);
    view.Apply(offset, aRecord);
    records.push_back(std::move(aRecord));
    return offset;
  }

  std::vector<OwnershipRecord> records;
  OwnershipView view;
};

JoinRecord
MakeJoin(size_t aIndex)
{
  JoinRecord join;
  join.boot = BootId(aIndex);
  join.inner =
    Endpoint{ fmt::format("10.0.{}.{}", aIndex / 250, aIndex), 7000 };
  join.callers = join.inner;
  join.server = join.inner;
  join.host = HostName(fmt::format("host-{}", aIndex));
  join.zone = ZoneName(fmt::format("zone-{}", aIndex % kZones));
  join.region = RegionName(aIndex % kZones < 4 ? "region-a" : "region-b");
  join.services = { kService };
  return join;
}

DaemonId
Member(size_t aIndex)
{
  return DaemonId(static_cast<int64_t>(aIndex % kMembers) + 1);
}

EntryKey
Key(uint32_t aRange)
{
  return EntryKey{ kService, RangeIndex(aRange), {} };
}

void
AddMembers(Stream& aStream)
{
  for (size_t index = 0; index < kMembers; ++index) {
    aStream.Append(MakeJoin(index));
  }
  RandomEngine random(1);
  for (size_t index = 0; index < kMembers; ++index) {
    const auto leaseholder = Member(index);
    aStream.Append(WitnessSetRecord{
      leaseholder,
      {},
      SelectWitnesses(aStream.view, leaseholder, {}, {}, random) });
  }
}

/** \brief Assigns ranges and records them as held by their owners. */
void
AddEntries(Stream& aStream)
{
  const auto term = aStream.Append(PlannerTermRecord{ Member(0), Offset() });
  for (uint32_t first = 0; first < kEntries; first += kEntriesPerRecord) {
    AssignRecord record{ term, Member(0), {} };
    for (uint32_t range = first; range < first + kEntriesPerRecord; ++range) {
      // Successors that differ from range to range of an owner.
      const size_t step = 1 + range / kMembers;
      record.assignments.push_back(
        Assignment{ Key(range),
                    std::nullopt,
                    Member(range),
                    { Member(range + step),
                      Member(range + 150 + step),
                      Member(range + 300 + step) } });
    }
    const auto offset = aStream.Append(record);
    for (const auto& item : record.assignments) {
      aStream.Append(
        HeldRecord{ item.owner, { { item.key, offset, Rank(0) } } });
    }
  }
}

const Stream&
FullStream()
{
  static const Stream kStream = [] {
    Stream stream;
    AddMembers(stream);
    AddEntries(stream);
    return stream;
  }();
  return kStream;
}

double
HeapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

void
ReplayFullMesh(benchmark::State& aState)
{
  const auto& records = FullStream().records;
  for (auto _ : aState) {
    OwnershipView view;
    int64_t offset = 0;
    for (const auto& record : records) {
      view.Apply(Offset(++offset), record);
    }
    benchmark::DoNotOptimize(view);
  }
  aState.SetItemsProcessed(aState.iterations() *
                           static_cast<int64_t>(records.size()));
  aState.counters["records"] = static_cast<double>(records.size());
}
BENCHMARK(ReplayFullMesh)->Unit(benchmark::kMillisecond);

void
ViewMemory(benchmark::State& aState)
{
  Stream members;
  AddMembers(members);
  const auto& full = FullStream().view;
  double perMember = 0;
  double perEntry = 0;
  for (auto _ : aState) {
    const auto start = HeapBytes();
    const auto membersOnly = std::make_unique<OwnershipView>(members.view);
    const auto afterMembers = HeapBytes();
    const auto all = std::make_unique<OwnershipView>(full);
    const auto afterAll = HeapBytes();
    const auto membersBytes = afterMembers - start;
    perMember = membersBytes / kMembers;
    perEntry = (afterAll - afterMembers - membersBytes) / kEntries;
  }
  aState.counters["bytes/member"] = perMember;
  aState.counters["bytes/entry"] = perEntry;
}
BENCHMARK(ViewMemory)->Unit(benchmark::kMillisecond)->Iterations(3);

Node
MakeNode(DaemonId aSelf)
{
  return { aSelf,
           FullStream().view,
           NodeSettings(),
           RandomEngine(2),
           MonoTime(std::chrono::hours(1)) };
}

void
GuardianHandlesRenewal(benchmark::State& aState)
{
  auto now = MonoTime(std::chrono::hours(1));
  auto node = MakeNode(Member(5));
  const auto leaseholder = *node.View().LeaseholdersOf(Member(5)).begin();
  Renew renew{ 1, {}, node.View().Applied(), {} };
  for (auto _ : aState) {
    ++renew.sequence;
    now += std::chrono::milliseconds(1);
    node.OnMessage(leaseholder, renew, now);
    benchmark::DoNotOptimize(node.TakeEffects());
  }
}
BENCHMARK(GuardianHandlesRenewal);

void
NodeTick(benchmark::State& aState)
{
  auto now = MonoTime(std::chrono::hours(1));
  auto node = MakeNode(Member(5));
  const auto witnesses =
    node.View().FindWitnesses(Member(5))->current.witnesses;
  uint64_t sequence = 0;
  for (auto _ : aState) {
    now += NodeSettings().tickInterval;
    node.OnTick(now);
    for (const auto& effect : node.TakeEffects()) {
      const auto* send = std::get_if<SendMessage>(&effect);
      const auto* renew =
        send == nullptr ? nullptr : std::get_if<Renew>(&send->message);
      if (renew != nullptr) {
        sequence = renew->sequence;
        node.OnMessage(
          send->to, RenewAck{ sequence, renew->version, true, false, {} }, now);
      }
    }
    benchmark::DoNotOptimize(node.TakeEffects());
  }
  aState.counters["held"] = static_cast<double>(node.Held().size());
}
BENCHMARK(NodeTick);

/** \brief A mesh where one owner's 64 entries all have the same first
 * successor. */
Stream
SmallStream()
{
  Stream stream;
  for (size_t index = 0; index < 8; ++index) {
    stream.Append(MakeJoin(index));
  }
  for (size_t index = 0; index < 8; ++index) {
    const auto witness = [&](size_t aNext) {
      return Member((index + aNext) % 8);
    };
    stream.Append(WitnessSetRecord{
      Member(index), {}, { witness(1), witness(2), witness(3) } });
  }
  const auto term = stream.Append(PlannerTermRecord{ Member(0), Offset() });
  AssignRecord record{ term, Member(0), {} };
  for (uint32_t range = 0; range < kLeaseholderEntries; ++range) {
    record.assignments.push_back(Assignment{
      Key(range), std::nullopt, Member(0), { Member(7), Member(6) } });
  }
  stream.Append(record);
  return stream;
}

void
HeirTakesOver64Entries(benchmark::State& aState)
{
  const auto stream = SmallStream();
  const auto applied = stream.view.Applied();
  const auto successor = Member(7);
  const auto leaseholder = Member(0);
  const auto& own = stream.view.FindWitnesses(successor)->current.witnesses;
  const auto& witnesses =
    stream.view.FindWitnesses(leaseholder)->current.witnesses;
  int64_t started = 0;
  for (auto _ : aState) {
    aState.PauseTiming();
    auto now = MonoTime(std::chrono::hours(1));
    Node node(successor, stream.view, NodeSettings(), RandomEngine(3), now);
    node.OnTick(now);
    for (const auto witness : own) {
      node.OnMessage(witness, RenewAck{ 1, applied, true, false, {} }, now);
    }
    node.OnMessage(witnesses[0], SealReply{ leaseholder, applied }, now);
    node.TakeEffects();
    aState.ResumeTiming();
    node.OnMessage(witnesses[1], SealReply{ leaseholder, applied }, now);
    const auto effects = node.TakeEffects();
    aState.PauseTiming();
    started = static_cast<int64_t>(node.Held().size());
    aState.ResumeTiming();
  }
  aState.counters["started"] = static_cast<double>(started);
}
BENCHMARK(HeirTakesOver64Entries);

void
SelectGuardiansFullMesh(benchmark::State& aState)
{
  const auto& view = FullStream().view;
  RandomEngine random(4);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(SelectWitnesses(view, Member(9), {}, {}, random));
  }
}
BENCHMARK(SelectGuardiansFullMesh)->Unit(benchmark::kMicrosecond);

}
}
