#include <benchmark/benchmark.h>

#include "Pistachioshift/Log"

namespace pistachioshift {
namespace {

constexpr size_t kBodyBytes = 200;
constexpr uint64_t kWriters = 460;

Envelope
SampleEnvelope(uint64_t aNumber)
{
  Envelope envelope;
  envelope.id =
    RecordId{ BootId(aNumber % kWriters + 1), aNumber / kWriters + 1 };
  envelope.body = std::string(kBodyBytes, 'x');
  return envelope;
}

void
EncodeEnvelopeBench(benchmark::State& aState)
{
  const Envelope envelope = SampleEnvelope(1);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(EncodeEnvelope(envelope));
  }
}
BENCHMARK(EncodeEnvelopeBench);

void
DecodeEnvelopeBench(benchmark::State& aState)
{
  const std::string payload = EncodeEnvelope(SampleEnvelope(1));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(DecodeEnvelope(payload));
  }
}
BENCHMARK(DecodeEnvelopeBench);

// One record through the follower: decode, duplicate check, offset.
void
FollowerTakeBench(benchmark::State& aState)
{
  constexpr uint64_t kEntries = 100000;
  std::vector<LogEntry> entries;
  entries.reserve(kEntries);
  for (uint64_t number = 0; number < kEntries; ++number) {
    entries.push_back(LogEntry{ Offset(static_cast<int64_t>(number) + 1),
                                EncodeEnvelope(SampleEnvelope(number)) });
  }
  size_t at = entries.size();
  Follower follower;
  for (auto _ : aState) {
    if (at == entries.size()) {
      follower = Follower();
      at = 0;
    }
    benchmark::DoNotOptimize(follower.Process(entries[at++]));
  }
}
BENCHMARK(FollowerTakeBench);

Checkpoint
SampleCheckpoint(size_t aStateBytes)
{
  Checkpoint checkpoint;
  checkpoint.through = Offset(100000);
  checkpoint.state = std::string(aStateBytes, 's');
  for (uint64_t writer = 1; writer <= kWriters; ++writer) {
    checkpoint.marks.push_back(WriterMark{
      BootId(writer), writer, Offset(static_cast<int64_t>(writer)) });
  }
  return checkpoint;
}

// Split and encode a checkpoint of so many KB of state.
void
CheckpointEncodeBench(benchmark::State& aState)
{
  const size_t bytes = static_cast<size_t>(aState.range(0)) * 1024;
  const Checkpoint checkpoint = SampleCheckpoint(bytes);
  for (auto _ : aState) {
    for (auto& part : SplitCheckpoint(checkpoint, 1)) {
      const Envelope envelope{ RecordId{}, std::move(part.body), part.chunk };
      benchmark::DoNotOptimize(EncodeEnvelope(envelope));
    }
  }
  aState.SetBytesProcessed(aState.iterations() * static_cast<int64_t>(bytes));
}
BENCHMARK(CheckpointEncodeBench)->Arg(1)->Arg(64)->Arg(1024);

// Collect and decode the parts of a checkpoint of so many KB of state.
void
CheckpointDecodeBench(benchmark::State& aState)
{
  const size_t bytes = static_cast<size_t>(aState.range(0)) * 1024;
  std::vector<Envelope> envelopes;
  for (auto& part : SplitCheckpoint(SampleCheckpoint(bytes), 1)) {
    envelopes.push_back(
      Envelope{ RecordId{}, std::move(part.body), part.chunk });
  }
  for (auto _ : aState) {
    CheckpointAssembler assembler;
    for (const auto& envelope : envelopes) {
      benchmark::DoNotOptimize(assembler.Add(envelope));
    }
  }
  aState.SetBytesProcessed(aState.iterations() * static_cast<int64_t>(bytes));
}
BENCHMARK(CheckpointDecodeBench)->Arg(1)->Arg(64)->Arg(1024);

}
}
