#ifndef PISTACHIOSHIFT_LOG_LOGBODIES_H
#define PISTACHIOSHIFT_LOG_LOGBODIES_H

#include <string>
#include <string_view>
#include <vector>

#include "src/Log/LogService.h"

namespace pistachioshift::internal {

// HTTP bodies between HttpLogService and the log service or its stand-in.
// Decoding throws LogError if a body is malformed or exceeds the bounds of
// LogService.

/** Maximum body size of a request or an answer, in bytes. */
constexpr size_t kMaxBodyBytes = kMaxBatchBytes + size_t{ 64 } * 1024;

/** Throws LogError if an append exceeds the bounds of LogService. */
void CheckAppend(const std::vector<std::string>& aPayloads);

std::string EncodeAppendRequest(const std::vector<std::string>& aPayloads);
std::vector<std::string> DecodeAppendRequest(std::string_view aBody);
std::string EncodeAppended(const Appended& aAnswer);
Appended DecodeAppended(std::string_view aBody);
std::string EncodeReadAnswer(const ReadAnswer& aAnswer);
ReadAnswer DecodeReadAnswer(std::string_view aBody);

}

#endif
