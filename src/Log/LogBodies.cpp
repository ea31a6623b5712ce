#include "src/Log/LogBodies.h"

#include <fmt/format.h>

#include "src/Log/LogCodec.h"
#include "src/Log/gen/log_types.h"

namespace pistachioshift::internal {

namespace {

void
CheckBody(std::string_view aBody)
{
  if (aBody.size() > kMaxBodyBytes) {
    throw LogError(fmt::format(
      "body of {} bytes exceeds the limit of {}", aBody.size(), kMaxBodyBytes));
  }
}

}

void
CheckAppend(const std::vector<std::string>& aPayloads)
{
  if (aPayloads.empty() || aPayloads.size() > kMaxAppendRecords) {
    throw LogError(fmt::format("append of {} records is not within 1 to {}",
                               aPayloads.size(),
                               kMaxAppendRecords));
  }
  size_t bytes = 0;
  for (const auto& payload : aPayloads) {
    if (payload.size() > kMaxPayloadBytes) {
      throw LogError(fmt::format("payload of {} bytes exceeds the limit of {}",
                                 payload.size(),
                                 kMaxPayloadBytes));
    }
    bytes += payload.size();
  }
  if (bytes > kMaxBatchBytes) {
    throw LogError(fmt::format(
      "append of {} bytes exceeds the limit of {}", bytes, kMaxBatchBytes));
  }
}

std::string
EncodeAppendRequest(const std::vector<std::string>& aPayloads)
{
  log_idl::AppendRequest request;
  request.payloads = aPayloads;
  return EncodeStruct(request);
}

std::vector<std::string>
DecodeAppendRequest(std::string_view aBody)
{
  CheckBody(aBody);
  auto request = DecodeStruct<log_idl::AppendRequest>(aBody, kMaxAppendRecords);
  CheckAppend(request.payloads);
  return std::move(request.payloads);
}

std::string
EncodeAppended(const Appended& aAnswer)
{
  log_idl::AppendAnswer answer;
  for (const auto offset : aAnswer.offsets) {
    answer.offsets.push_back(offset.Value());
  }
  return EncodeStruct(answer);
}

Appended
DecodeAppended(std::string_view aBody)
{
  CheckBody(aBody);
  const auto decoded =
    DecodeStruct<log_idl::AppendAnswer>(aBody, kMaxAppendRecords);
  Appended answer;
  for (const auto offset : decoded.offsets) {
    answer.offsets.emplace_back(offset);
  }
  return answer;
}

std::string
EncodeReadAnswer(const ReadAnswer& aAnswer)
{
  log_idl::ReadAnswer answer;
  answer.firstOffset = aAnswer.first.Value();
  answer.endOffset = aAnswer.end.Value();
  for (const auto& entry : aAnswer.entries) {
    auto& encoded = answer.entries.emplace_back();
    encoded.offset = entry.offset.Value();
    encoded.payload = entry.payload;
  }
  return EncodeStruct(answer);
}

ReadAnswer
DecodeReadAnswer(std::string_view aBody)
{
  CheckBody(aBody);
  auto decoded = DecodeStruct<log_idl::ReadAnswer>(aBody, kMaxReadRecords);
  ReadAnswer answer;
  answer.first = Offset(decoded.firstOffset);
  answer.end = Offset(decoded.endOffset);
  for (auto& entry : decoded.entries) {
    answer.entries.push_back(
      LogEntry{ Offset(entry.offset), std::move(entry.payload) });
  }
  return answer;
}

}
