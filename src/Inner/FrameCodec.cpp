#include "src/Inner/FrameCodec.h"

#include <cmath>

#include "src/Inner/ThriftCodec.h"
#include "src/Inner/WireRanges.h"
#include "src/Inner/gen/frames_types.h"

namespace pistachioshift {

namespace internal {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

constexpr auto kMaxOutcome = static_cast<int32_t>(Outcome::kUnknown);
constexpr auto kMaxState = static_cast<int32_t>(RequestState::kForgotten);
constexpr int32_t kMaxStatus = 599;
/** Interim answers (1xx) stay between a backend server and its daemon. */
constexpr int32_t kMinStatus = 200;
constexpr int64_t kMaxMicros = 1LL << 52U;

template<class Enum>
Enum
EnumFromWire(int32_t aValue, int32_t aMax, const char* aField)
{
  if (aValue < 0 || aValue > aMax) {
    throw InnerError(std::string(aField) + " out of bounds");
  }
  return static_cast<Enum>(aValue);
}

int
StatusFromWire(int32_t aStatus)
{
  if (aStatus < kMinStatus || aStatus > kMaxStatus) {
    throw InnerError("status out of bounds");
  }
  return aStatus;
}

Duration
DurationFromWire(int64_t aMicros)
{
  if (aMicros < -kMaxMicros || aMicros > kMaxMicros) {
    throw InnerError("duration out of bounds");
  }
  return microseconds(aMicros);
}

std::optional<uint64_t>
LengthFromWire(bool aIsSet, int64_t aLength)
{
  if (!aIsSet) {
    return std::nullopt;
  }
  if (aLength < 0) {
    throw InnerError("negative content length");
  }
  return static_cast<uint64_t>(aLength);
}

double
LoadFromWire(double aLoad)
{
  if (!std::isfinite(aLoad) || aLoad < 0.0) {
    throw InnerError("load out of bounds");
  }
  return aLoad;
}

wire::WireRequestId
ToWire(const RequestId& aId)
{
  wire::WireRequestId id;
  id.high = static_cast<int64_t>(aId.high);
  id.low = static_cast<int64_t>(aId.low);
  return id;
}

RequestId
FromWire(const wire::WireRequestId& aId)
{
  return RequestId{ static_cast<uint64_t>(aId.high),
                    static_cast<uint64_t>(aId.low) };
}

std::vector<wire::WireHeader>
ToWire(const Headers& aHeaders)
{
  std::vector<wire::WireHeader> list;
  list.reserve(aHeaders.size());
  for (const auto& field : aHeaders) {
    wire::WireHeader header;
    header.name = field.name;
    header.value = field.value;
    list.push_back(std::move(header));
  }
  return list;
}

Headers
FromWire(const std::vector<wire::WireHeader>& aList)
{
  Headers headers;
  for (const auto& header : aList) {
    headers.Add(header.name, header.value);
  }
  return headers;
}

TablePosition
PositionFromWire(int64_t aPosition)
{
  return TablePosition(static_cast<uint64_t>(aPosition));
}

int64_t
ToWire(const TablePosition& aPosition)
{
  return static_cast<int64_t>(aPosition.Value());
}

/** Sets the union field that corresponds to the frame type. */
struct FrameWriter
{
  wire::WireFrame& frame;

  void operator()(const Hello& aHello) const
  {
    wire::WireHello hello;
    hello.boot = static_cast<int64_t>(aHello.boot.Value());
    hello.protocol = aHello.protocol;
    hello.daemon = aHello.daemon.Value();
    hello.position = ToWire(aHello.position);
    if (aHello.compression != 0) {
      hello.__set_compression(aHello.compression);
    }
    if (aHello.uptime) {
      hello.__set_uptimeMicros(
        duration_cast<microseconds>(*aHello.uptime).count());
    }
    frame.__set_hello(hello);
  }

  void operator()(const RequestOpen& aOpen) const
  {
    wire::WireRequestOpen open;
    open.stream = aOpen.stream.Value();
    open.request = ToWire(aOpen.request);
    open.serviceName = aOpen.service.Value();
    open.key = aOpen.key;
    open.method = aOpen.head.method;
    open.target = aOpen.head.target;
    open.headers = ToWire(aOpen.head.headers);
    open.remainingMicros = duration_cast<microseconds>(aOpen.remaining).count();
    if (aOpen.head.contentLength) {
      open.__set_contentLength(static_cast<int64_t>(*aOpen.head.contentLength));
    }
    open.hasBody = aOpen.hasBody;
    if (!aOpen.idempotencyKey.empty()) {
      open.__set_idempotencyKey(aOpen.idempotencyKey);
    }
    open.known = ToWire(aOpen.known);
    open.isRepeat = aOpen.repeat;
    open.__set_priority(static_cast<int32_t>(aOpen.priority));
    open.__set_goalMicros(duration_cast<microseconds>(aOpen.goal).count());
    open.__set_fingerprint(static_cast<int64_t>(aOpen.fingerprint.Value()));
    if (aOpen.nested) {
      open.__set_nested(true);
    }
    if (aOpen.awaitsCredit) {
      open.__set_awaitsCredit(true);
    }
    frame.__set_requestOpen(open);
  }

  void operator()(const BodyChunk& aPiece) const
  {
    wire::WireBody body;
    body.stream = aPiece.stream.Value();
    body.data = aPiece.data;
    body.last = aPiece.last;
    frame.__set_body(body);
  }

  void operator()(const Credit& aCredit) const
  {
    wire::WireCredit credit;
    credit.stream = aCredit.stream.Value();
    credit.bytes = aCredit.bytes;
    frame.__set_credit(credit);
  }

  void operator()(const ResponseOpen& aOpen) const
  {
    wire::WireResponseOpen open;
    open.stream = aOpen.stream.Value();
    open.status = aOpen.head.status;
    open.headers = ToWire(aOpen.head.headers);
    if (aOpen.head.contentLength) {
      open.__set_contentLength(static_cast<int64_t>(*aOpen.head.contentLength));
    }
    open.token.entry = aOpen.token.entry.Value();
    open.token.rank = static_cast<int8_t>(aOpen.token.rank.Value());
    frame.__set_responseOpen(open);
  }

  void operator()(const Refused& aRefused) const
  {
    wire::WireRefused refused;
    refused.stream = aRefused.stream.Value();
    refused.outcome = static_cast<int32_t>(aRefused.outcome);
    refused.reason = static_cast<int32_t>(aRefused.reason);
    refused.retryAfterMicros =
      duration_cast<microseconds>(aRefused.retryAfter).count();
    if (aRefused.holder) {
      refused.__set_holder(aRefused.holder->Value());
    }
    frame.__set_refused(refused);
  }

  void operator()(const Goodbye&) const
  {
    frame.__set_goodbye(wire::WireGoodbye());
  }

  void operator()(const CancelStream& aCancel) const
  {
    wire::WireCancel cancel;
    cancel.stream = aCancel.stream.Value();
    frame.__set_cancel(cancel);
  }

  void operator()(const Ping& aPing) const
  {
    wire::WirePing ping;
    ping.sequence = aPing.sequence;
    frame.__set_ping(ping);
  }

  void operator()(const Pong& aPong) const
  {
    wire::WirePong pong;
    pong.sequence = aPong.sequence;
    pong.position = ToWire(aPong.position);
    frame.__set_pong(pong);
  }

  void operator()(const OutcomeQuery& aQuery) const
  {
    wire::WireOutcomeQuery query;
    query.query = aQuery.query.Value();
    query.request = ToWire(aQuery.request);
    query.known = ToWire(aQuery.known);
    frame.__set_outcomeQuery(query);
  }

  void operator()(const OutcomeReply& aReply) const
  {
    wire::WireOutcomeReply reply;
    reply.query = aReply.query.Value();
    reply.state = static_cast<int32_t>(aReply.result.state);
    if (aReply.result.answer) {
      reply.__set_status(aReply.result.answer->status);
      reply.__set_payload(aReply.result.answer->payload);
    }
    frame.__set_outcomeReply(reply);
  }

  void operator()(const RecordsQuery& aQuery) const
  {
    wire::WireRecordsQuery query;
    query.stream = aQuery.stream.Value();
    query.from_ = aQuery.from.Value();
    frame.__set_recordsQuery(query);
  }

  void operator()(const RecordsReply& aReply) const
  {
    wire::WireRecordsReply reply;
    reply.stream = aReply.stream.Value();
    for (const auto& entry : aReply.entries) {
      wire::WireLogEntry item;
      item.offset = entry.offset.Value();
      item.payload = entry.payload;
      reply.entries.push_back(std::move(item));
    }
    frame.__set_recordsReply(reply);
  }

  void operator()(const LoadReport& aReport) const
  {
    wire::WireLoadReport report;
    report.daemon = aReport.daemon.Value();
    report.serviceName = aReport.service.Value();
    for (const auto& entry : aReport.entries) {
      wire::WireEntryLoad item;
      item.range_ = static_cast<int32_t>(entry.range.Value());
      if (!entry.pinnedKey.empty()) {
        item.__set_pinnedKey(entry.pinnedKey);
      }
      item.load = entry.load;
      report.entries.push_back(std::move(item));
    }
    for (const auto& key : aReport.hotKeys) {
      wire::WireKeyLoad item;
      item.key = key.key;
      item.range_ = static_cast<int32_t>(key.range.Value());
      item.load = key.load;
      report.hotKeys.push_back(std::move(item));
    }
    frame.__set_loadReport(report);
  }

  void operator()(const HostReport& aReport) const
  {
    frame.__set_hostReport(hosts::ToWire(aReport));
  }

  void operator()(const HostOrders& aOrders) const
  {
    frame.__set_hostOrders(hosts::ToWire(aOrders));
  }

  void operator()(const StateQuery& aQuery) const
  {
    frame.__set_stateQuery(hosts::ToWire(aQuery));
  }

  void operator()(const StateReply& aReply) const
  {
    frame.__set_stateReply(hosts::ToWire(aReply));
  }

  void operator()(const ConfigurationUpdate& aUpdate) const
  {
    frame.__set_configuration(hosts::ToWire(aUpdate.records));
  }

  void operator()(const RangeRelease& aRelease) const
  {
    frame.__set_rangeRelease(hosts::ToWire(aRelease));
  }
};

LoadReport
FromWire(const wire::WireLoadReport& aReport)
{
  LoadReport report;
  report.daemon = DaemonId(aReport.daemon);
  report.service = ServiceName(aReport.serviceName);
  for (const auto& item : aReport.entries) {
    report.entries.push_back(
      ReportedEntry{ RangeIndex(static_cast<uint32_t>(item.range_)),
                     item.pinnedKey,
                     LoadFromWire(item.load) });
  }
  for (const auto& item : aReport.hotKeys) {
    report.hotKeys.push_back(
      ReportedKey{ item.key,
                   RangeIndex(static_cast<uint32_t>(item.range_)),
                   LoadFromWire(item.load) });
  }
  return report;
}

RequestOpen
FromWire(const wire::WireRequestOpen& aOpen)
{
  RequestOpen open;
  open.stream = StreamId(aOpen.stream);
  open.request = FromWire(aOpen.request);
  open.service = ServiceName(aOpen.serviceName);
  open.key = aOpen.key;
  open.head.method = aOpen.method;
  open.head.target = aOpen.target;
  open.head.headers = FromWire(aOpen.headers);
  open.head.contentLength =
    LengthFromWire(aOpen.__isset.contentLength, aOpen.contentLength);
  open.remaining = DurationFromWire(aOpen.remainingMicros);
  open.hasBody = aOpen.hasBody;
  open.head.chunked = aOpen.hasBody && !open.head.contentLength;
  open.idempotencyKey = aOpen.idempotencyKey;
  open.known = PositionFromWire(aOpen.known);
  open.repeat = aOpen.isRepeat;
  open.priority = static_cast<uint32_t>(std::max(aOpen.priority, 0));
  if (aOpen.__isset.goalMicros) {
    open.goal = DurationFromWire(aOpen.goalMicros);
  }
  if (aOpen.__isset.fingerprint) {
    open.fingerprint =
      RequestFingerprint(static_cast<uint64_t>(aOpen.fingerprint));
  }
  open.nested = aOpen.__isset.nested && aOpen.nested;
  open.awaitsCredit = aOpen.__isset.awaitsCredit && aOpen.awaitsCredit;
  return open;
}

ResponseOpen
FromWire(const wire::WireResponseOpen& aOpen)
{
  ResponseOpen open;
  open.stream = StreamId(aOpen.stream);
  open.head.status = StatusFromWire(aOpen.status);
  open.head.headers = FromWire(aOpen.headers);
  open.head.contentLength =
    LengthFromWire(aOpen.__isset.contentLength, aOpen.contentLength);
  open.token.entry = Offset(aOpen.token.entry);
  open.token.rank = Rank(static_cast<uint8_t>(aOpen.token.rank));
  return open;
}

Refused
FromWire(const wire::WireRefused& aRefused)
{
  constexpr int32_t kMaxReason = static_cast<int32_t>(kRefusalReasonCount) - 1;
  Refused refused;
  refused.stream = StreamId(aRefused.stream);
  refused.outcome =
    EnumFromWire<Outcome>(aRefused.outcome, kMaxOutcome, "outcome");
  refused.reason =
    EnumFromWire<RefusalReason>(aRefused.reason, kMaxReason, "reason");
  refused.retryAfter = DurationFromWire(aRefused.retryAfterMicros);
  if (aRefused.__isset.holder) {
    refused.holder = DaemonId(aRefused.holder);
  }
  return refused;
}

OutcomeReply
FromWire(const wire::WireOutcomeReply& aReply)
{
  OutcomeReply reply;
  reply.query = QueryId(aReply.query);
  reply.result.state =
    EnumFromWire<RequestState>(aReply.state, kMaxState, "state");
  if (aReply.__isset.status) {
    const auto status = StatusFromWire(aReply.status);
    reply.result.answer =
      CachedResponse{ static_cast<uint16_t>(status), aReply.payload };
  }
  return reply;
}

RecordsReply
FromWire(const wire::WireRecordsReply& aReply)
{
  RecordsReply reply;
  reply.stream = StreamName(aReply.stream);
  for (const auto& item : aReply.entries) {
    reply.entries.push_back(LogEntry{ Offset(item.offset), item.payload });
  }
  return reply;
}

Frame
FromWire(const wire::WireFrame& aFrame)
{
  const auto& isset = aFrame.__isset;
  if (isset.body) {
    const auto& body = aFrame.body;
    return BodyChunk{ StreamId(body.stream), body.data, body.last };
  }
  if (isset.requestOpen) {
    return FromWire(aFrame.requestOpen);
  }
  if (isset.responseOpen) {
    return FromWire(aFrame.responseOpen);
  }
  if (isset.credit) {
    return Credit{ StreamId(aFrame.credit.stream), aFrame.credit.bytes };
  }
  if (isset.refused) {
    return FromWire(aFrame.refused);
  }
  if (isset.cancel) {
    return CancelStream{ StreamId(aFrame.cancel.stream) };
  }
  if (isset.ping) {
    return Ping{ aFrame.ping.sequence };
  }
  if (isset.pong) {
    return Pong{ aFrame.pong.sequence, PositionFromWire(aFrame.pong.position) };
  }
  if (isset.outcomeQuery) {
    const auto& query = aFrame.outcomeQuery;
    return OutcomeQuery{ QueryId(query.query),
                         FromWire(query.request),
                         PositionFromWire(query.known) };
  }
  if (isset.outcomeReply) {
    return FromWire(aFrame.outcomeReply);
  }
  if (isset.hello) {
    const auto& hello = aFrame.hello;
    return Hello{ BootId(static_cast<uint64_t>(hello.boot)),
                  hello.protocol,
                  DaemonId(hello.daemon),
                  PositionFromWire(hello.position),
                  hello.__isset.compression ? hello.compression : 0,
                  hello.__isset.uptimeMicros
                    ? std::optional(DurationFromWire(hello.uptimeMicros))
                    : std::nullopt };
  }
  if (isset.recordsQuery) {
    const auto& query = aFrame.recordsQuery;
    return RecordsQuery{ StreamName(query.stream), Offset(query.from_) };
  }
  if (isset.recordsReply) {
    return FromWire(aFrame.recordsReply);
  }
  if (isset.loadReport) {
    return FromWire(aFrame.loadReport);
  }
  if (isset.hostReport) {
    return hosts::FromWire(aFrame.hostReport);
  }
  if (isset.hostOrders) {
    return hosts::FromWire(aFrame.hostOrders);
  }
  if (isset.stateQuery) {
    return StateQuery{ StorePosition{ StoreEra(aFrame.stateQuery.era),
                                      aFrame.stateQuery.from_ } };
  }
  if (isset.stateReply) {
    return hosts::FromWire(aFrame.stateReply);
  }
  if (isset.rangeRelease) {
    return hosts::FromWire(aFrame.rangeRelease);
  }
  if (isset.configuration) {
    return ConfigurationUpdate{ hosts::FromWire(aFrame.configuration) };
  }
  if (isset.goodbye) {
    return Goodbye{};
  }
  throw InnerError("unknown frame type");
}

std::string
EncodeLength(size_t aLength)
{
  std::string bytes(kFrameLengthBytes, '\0');
  for (size_t index = 0; index < kFrameLengthBytes; ++index) {
    const auto shift = 8U * (kFrameLengthBytes - 1 - index);
    bytes[index] = static_cast<char>((aLength >> shift) & 0xffU);
  }
  return bytes;
}

}
}

std::string
EncodeFrame(const Frame& aFrame)
{
  wire::WireFrame frame;
  std::visit(internal::FrameWriter{ frame }, aFrame);
  const auto body = internal::EncodeWire(frame);
  return internal::EncodeLength(body.size()) + body;
}

Frame
DecodeFrame(std::string_view aBytes)
{
  return internal::FromWire(internal::DecodeWire<wire::WireFrame>(aBytes));
}

std::vector<std::string_view>
SplitFrames(std::string_view aBytes)
{
  std::vector<std::string_view> frames;
  while (!aBytes.empty()) {
    if (aBytes.size() < kFrameLengthBytes) {
      throw InnerError("truncated frame");
    }
    size_t length = 0;
    for (size_t index = 0; index < kFrameLengthBytes; ++index) {
      length = length << 8U | static_cast<unsigned char>(aBytes[index]);
    }
    aBytes.remove_prefix(kFrameLengthBytes);
    if (length > aBytes.size()) {
      throw InnerError("truncated frame");
    }
    frames.push_back(aBytes.substr(0, length));
    aBytes.remove_prefix(length);
  }
  return frames;
}

}
