// Records in the streams of the log service, and HTTP bodies of the log
// service's stand-in. Generate with:
//   thrift --gen cpp:no_skeleton -out src/Log/gen src/Log/idl/log.thrift
namespace cpp pistachioshift.log_idl

/** Place of one part in a checkpoint that was split over several records. */
struct ChunkHeader {
  1: i64 checkpoint
  2: i64 through
  3: i32 index
  4: i32 count
  5: i64 checksum
}

/** Payload of every record. */
struct Envelope {
  1: i64 writer
  2: i64 sequence
  3: binary body
  4: optional ChunkHeader chunk
}

/** Highest sequence of a writer that took effect, and where. */
struct WriterMark {
  1: i64 writer
  2: i64 sequence
  3: i64 offset
}

/** What the chunks of a checkpoint spell when joined. */
struct CheckpointContent {
  1: list<WriterMark> marks
  2: binary state
}

struct AppendRequest {
  1: list<binary> payloads
}

struct AppendAnswer {
  1: list<i64> offsets
}

struct Entry {
  1: i64 offset
  2: binary payload
}

struct ReadAnswer {
  1: list<Entry> entries
  2: i64 firstOffset
  3: i64 endOffset
}
