#include <functional>
#include <memory>
#include <random>

#include <malloc.h>

#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <zlib.h>

#include "Pistachioshift/Inner"
#include "Pistachioshift/Ownership"
#include "src/Base/Hash.h"

namespace pistachioshift {
namespace {

constexpr int64_t kOffset = 40'000'000; ///< Of a stream in its second year.
constexpr size_t kBodyBytes = 16384;
constexpr uint32_t kEntriesPerRecord = 50;
constexpr uint32_t kSnapshotEntries = 1000;
constexpr size_t kSnapshotMembers = 460;
constexpr uint32_t kReportEntries = 64;
constexpr uint32_t kReportKeys = 16;
constexpr int kLookups = 1000;

const ServiceName kService{ "registry" };

DaemonId
Daemon(size_t aIndex)
{
  return DaemonId(kOffset + static_cast<int64_t>(aIndex % kSnapshotMembers));
}

AppliedOffsets
Applied()
{
  return { Offset(kOffset + 1000), Offset(kOffset) };
}

ControlDatagram
SampleRenewal()
{
  return { Daemon(1),
           Daemon(2),
           Renew{ 1'000'000, Offset(kOffset), Offset(kOffset), Applied() } };
}

ControlDatagram
SampleAck()
{
  return { Daemon(2),
           Daemon(1),
           RenewAck{ 1'000'000, Offset(kOffset), true, false, Applied() } };
}

void
EncodeDatagram(benchmark::State& aState, const ControlDatagram& aDatagram)
{
  size_t bytes = 0;
  for (auto _ : aState) {
    bytes = EncodeControl(aDatagram).size();
    benchmark::DoNotOptimize(bytes);
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK_CAPTURE(EncodeDatagram, renew, SampleRenewal());
BENCHMARK_CAPTURE(EncodeDatagram, ack, SampleAck());

void
DecodeDatagram(benchmark::State& aState, const ControlDatagram& aDatagram)
{
  const auto bytes = EncodeControl(aDatagram);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(DecodeControl(bytes));
  }
}
BENCHMARK_CAPTURE(DecodeDatagram, renew, SampleRenewal());
BENCHMARK_CAPTURE(DecodeDatagram, ack, SampleAck());

JoinRecord
SampleJoin(size_t aIndex)
{
  JoinRecord join;
  join.boot = BootId(0x1234567890abcdefU + aIndex);
  join.previous = Daemon(aIndex);
  join.inner =
    Endpoint{ fmt::format("10.0.{}.{}", aIndex / 250, aIndex % 250), 26001 };
  join.callers = join.inner;
  join.server = join.inner;
  join.host = HostName(fmt::format("host-{}", aIndex));
  join.zone = ZoneName(fmt::format("zone-{}", aIndex % 7));
  join.region = RegionName("region-1");
  join.services = { kService };
  join.slots = 9;
  return join;
}

EntryKey
Key(uint32_t aRange)
{
  return EntryKey{ kService, RangeIndex(aRange), {} };
}

OwnershipRecord
SampleAssign()
{
  AssignRecord record{ Offset(kOffset), Daemon(1), {} };
  for (uint32_t range = 0; range < kEntriesPerRecord; ++range) {
    record.assignments.push_back(Assignment{
      Key(range),
      Offset(kOffset),
      Daemon(range),
      { Daemon(range + 1), Daemon(range + 2), Daemon(range + 3) } });
  }
  return record;
}

OwnershipRecord
SampleHeld()
{
  HeldRecord record{ Daemon(1), {} };
  for (uint32_t range = 0; range < kEntriesPerRecord; ++range) {
    record.entries.push_back({ Key(range), Offset(kOffset), Rank(1) });
  }
  return record;
}

OwnershipRecord
SampleWitnesses()
{
  return WitnessSetRecord{ Daemon(1),
                           Offset(kOffset),
                           { Daemon(2), Daemon(3), Daemon(4) } };
}

void
EncodeRecord(benchmark::State& aState, const OwnershipRecord& aRecord)
{
  size_t bytes = 0;
  for (auto _ : aState) {
    bytes = EncodeOwnershipRecord(aRecord).size();
    benchmark::DoNotOptimize(bytes);
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK_CAPTURE(EncodeRecord, join, SampleJoin(1));
BENCHMARK_CAPTURE(EncodeRecord, guardians, SampleWitnesses());
BENCHMARK_CAPTURE(EncodeRecord, assign50, SampleAssign());
BENCHMARK_CAPTURE(EncodeRecord, held50, SampleHeld());

void
DecodeRecord(benchmark::State& aState, const OwnershipRecord& aRecord)
{
  const auto bytes = EncodeOwnershipRecord(aRecord);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(DecodeOwnershipRecord(bytes));
  }
}
BENCHMARK_CAPTURE(DecodeRecord, join, SampleJoin(1));
BENCHMARK_CAPTURE(DecodeRecord, guardians, SampleWitnesses());
BENCHMARK_CAPTURE(DecodeRecord, assign50, SampleAssign());
BENCHMARK_CAPTURE(DecodeRecord, held50, SampleHeld());

RequestOpen
SampleRequest()
{
  RequestOpen open;
  open.stream = StreamId(1000);
  open.service = kService;
  open.key = "outlet-123456";
  open.head.method = "GET";
  open.head.target = "/outlet-123456/specifications";
  open.head.headers.Add("User-Agent", "fitting-room/1.0");
  open.head.headers.Add("Accept", "application/json");
  open.remaining = std::chrono::milliseconds(500);
  return open;
}

BodyChunk
SampleBody()
{
  return { StreamId(1000), std::string(kBodyBytes, 'x'), true };
}

LoadReport
SampleLoadReport()
{
  LoadReport report{ Daemon(1), kService, {}, {} };
  for (uint32_t range = 0; range < kReportEntries; ++range) {
    report.entries.push_back({ RangeIndex(range * 460), {}, 52.5 });
  }
  for (uint32_t key = 0; key < kReportKeys; ++key) {
    report.hotKeys.push_back(
      { fmt::format("outlet-{:06}", key), RangeIndex(key * 460), 10.25 });
  }
  return report;
}

void
EncodeInnerFrame(benchmark::State& aState, const Frame& aFrame)
{
  size_t bytes = 0;
  for (auto _ : aState) {
    bytes = EncodeFrame(aFrame).size();
    benchmark::DoNotOptimize(bytes);
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK_CAPTURE(EncodeInnerFrame, request, SampleRequest());
BENCHMARK_CAPTURE(EncodeInnerFrame, body16K, SampleBody());
BENCHMARK_CAPTURE(EncodeInnerFrame, loadReport, SampleLoadReport());

void
DecodeInnerFrame(benchmark::State& aState, const Frame& aFrame)
{
  const auto bytes = EncodeFrame(aFrame);
  const auto content = std::string_view(bytes).substr(kFrameLengthBytes);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(DecodeFrame(content));
  }
}
BENCHMARK_CAPTURE(DecodeInnerFrame, request, SampleRequest());
BENCHMARK_CAPTURE(DecodeInnerFrame, body16K, SampleBody());
BENCHMARK_CAPTURE(DecodeInnerFrame, loadReport, SampleLoadReport());

/** Heads that differ as those of requests do, each with its length prefix. */
std::vector<std::string>
SampleHeads()
{
  constexpr size_t kHeads = 1000;
  std::mt19937_64 random(20261204);
  std::vector<std::string> heads;
  for (size_t count = 0; count < kHeads; ++count) {
    auto open = SampleRequest();
    open.stream = StreamId(static_cast<int64_t>(count));
    open.request = { random(), random() };
    open.key = fmt::format("outlet-{:06}", random() % 1'000'000);
    open.head.target = fmt::format("/v1/{}/specifications", open.key);
    open.head.headers.Add("Host", "registry.internal");
    open.head.headers.Add("Content-Type", "application/json");
    open.head.headers.Add("X-Request-Id", fmt::format("{:016x}", random()));
    open.head.headers.Add("X-Trace", fmt::format("{:016x}", random()));
    open.remaining = std::chrono::microseconds(random() % 800'000);
    open.fingerprint = RequestFingerprint(random());
    heads.push_back(EncodeFrame(open));
  }
  return heads;
}

/** Bytes that are allocated now. */
size_t
AllocatedBytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/** Memory of a stream after its first block. */
template<class Stream, class Action>
double
MemoryOf(const std::function<std::unique_ptr<Stream>()>& aMake, Action aAction)
{
  const auto before = AllocatedBytes();
  const auto stream = aMake();
  aAction(*stream);
  return static_cast<double>(AllocatedBytes() - before);
}

void
SetBytes(benchmark::State& aState, size_t aPlain, size_t aWire, size_t aHeads)
{
  const auto heads = static_cast<double>(aHeads);
  aState.counters["plain/head"] = static_cast<double>(aPlain) / heads;
  aState.counters["wire/head"] = static_cast<double>(aWire) / heads;
}

// Arguments: windowBits, memLevel, strategy, heads in a batch. One item is one
// head. Level 1.
void
CompressHeads(benchmark::State& aState)
{
  const auto heads = SampleHeads();
  const internal::DeflateSettings settings{
    .windowBits = static_cast<int>(aState.range(0)),
    .memoryLevel = static_cast<int>(aState.range(1)),
    .strategy = static_cast<int>(aState.range(2))
  };
  const auto batch = static_cast<size_t>(aState.range(3));
  internal::BlockDeflater deflater(settings);
  size_t next = 0;
  size_t plain = 0;
  size_t wire = 0;
  for (auto _ : aState) {
    std::string frames;
    for (size_t count = 0; count < batch; ++count) {
      frames += heads[next++ % heads.size()];
    }
    plain += frames.size();
    wire += deflater.Deflate(frames).size();
  }
  SetBytes(aState, plain, wire, next);
  aState.counters["memory"] = MemoryOf<internal::BlockDeflater>(
    [&] { return std::make_unique<internal::BlockDeflater>(settings); },
    [&](auto& aStream) { aStream.Deflate(heads[0]); });
  aState.SetItemsProcessed(static_cast<int64_t>(next));
}
BENCHMARK(CompressHeads)
  ->Args({ 12, 5, Z_DEFAULT_STRATEGY, 1 })
  ->Args({ 12, 5, Z_FIXED, 1 })
  ->Args({ 11, 4, Z_DEFAULT_STRATEGY, 1 })
  ->Args({ 11, 4, Z_FIXED, 1 })
  ->Args({ 13, 6, Z_DEFAULT_STRATEGY, 1 })
  ->Args({ 15, 8, Z_DEFAULT_STRATEGY, 1 })
  ->Args({ 12, 5, Z_DEFAULT_STRATEGY, 8 })
  ->Args({ 12, 5, Z_FIXED, 8 });

// Inflates blocks of one head each.
void
DecompressHeads(benchmark::State& aState)
{
  const auto heads = SampleHeads();
  internal::BlockDeflater deflater;
  std::vector<std::string> blocks;
  blocks.reserve(heads.size());
  for (const auto& head : heads) {
    blocks.push_back(deflater.Deflate(head).substr(kFrameLengthBytes));
  }
  std::unique_ptr<internal::BlockInflater> inflater;
  size_t next = 0;
  for (auto _ : aState) {
    const auto index = next++ % blocks.size();
    if (index == 0) {
      inflater = std::make_unique<internal::BlockInflater>();
    }
    benchmark::DoNotOptimize(inflater->Inflate(blocks[index]));
  }
  aState.counters["memory"] = MemoryOf<internal::BlockInflater>(
    [] { return std::make_unique<internal::BlockInflater>(); },
    [&](auto& aStream) { aStream.Inflate(blocks[0]); });
  aState.SetItemsProcessed(static_cast<int64_t>(next));
}
BENCHMARK(DecompressHeads);

/** Members with witness sets, and so many entries held by them. */
OwnershipView
SampleView(size_t aMembers, uint32_t aEntries)
{
  OwnershipView view;
  int64_t offset = kOffset;
  const auto append = [&](const OwnershipRecord& aRecord) {
    view.Apply(Offset(offset), aRecord);
    return Offset(offset++);
  };
  for (size_t index = 0; index < aMembers; ++index) {
    auto join = SampleJoin(index);
    join.previous.reset();
    append(join);
  }
  for (size_t index = 0; index < aMembers; ++index) {
    append(WitnessSetRecord{
      Daemon(index),
      {},
      { Daemon(index + 1), Daemon(index + 2), Daemon(index + 3) } });
  }
  const auto term = append(PlannerTermRecord{ Daemon(0), Offset() });
  for (uint32_t range = 0; range < aEntries; ++range) {
    const std::vector<DaemonId> successors{ Daemon(range + 1),
                                            Daemon(range + 2),
                                            Daemon(range + 3) };
    const auto entry = append(AssignRecord{
      term,
      Daemon(0),
      { Assignment{ Key(range), std::nullopt, Daemon(range), successors } } });
    append(HeldRecord{ Daemon(range), { { Key(range), entry, Rank(0) } } });
  }
  return view;
}

// From a key to the daemons to ask, among so many entries.
void
LookUpRoute(benchmark::State& aState)
{
  const auto entries = static_cast<uint32_t>(aState.range(0));
  const auto view = SampleView(kSnapshotMembers, entries);
  std::vector<std::string> keys;
  keys.reserve(kLookups);
  for (int number = 0; number < kLookups; ++number) {
    keys.push_back(fmt::format("outlet-{}", number));
  }
  size_t turn = 0;
  for (auto _ : aState) {
    const auto& key = keys[++turn % keys.size()];
    const auto range = RangeOfKey(key, entries);
    benchmark::DoNotOptimize(view.Route(view.Resolve(kService, range, key)));
  }
}
BENCHMARK(LookUpRoute)->Arg(1000)->Arg(30000);

// Bytes of a checkpoint per member and per entry.
void
CheckpointState(benchmark::State& aState)
{
  const auto members = SampleView(kSnapshotMembers, 0);
  const auto all = SampleView(kSnapshotMembers, kSnapshotEntries);
  const auto base = EncodeOwnershipSnapshot(members.Snapshot()).size();
  size_t bytes = 0;
  for (auto _ : aState) {
    bytes = EncodeOwnershipSnapshot(all.Snapshot()).size();
    benchmark::DoNotOptimize(bytes);
  }
  aState.counters["bytes/member"] =
    static_cast<double>(base) / static_cast<double>(kSnapshotMembers);
  aState.counters["bytes/entry"] =
    static_cast<double>(bytes - base) / kSnapshotEntries;
  aState.counters["entries"] = static_cast<double>(all.Entries().size());
}
BENCHMARK(CheckpointState)->Unit(benchmark::kMicrosecond);

}
}
