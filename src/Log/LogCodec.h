#ifndef PISTACHIOSHIFT_LOG_LOGCODEC_H
#define PISTACHIOSHIFT_LOG_LOGCODEC_H

#include <memory>
#include <string>
#include <string_view>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "src/Log/LogService.h"

namespace pistachioshift::internal {

using CompactProtocol = apache::thrift::protocol::TCompactProtocolT<
  apache::thrift::transport::TMemoryBuffer>;

/** Encodes a generated struct with Thrift's compact protocol. */
template<class Struct>
std::string
EncodeStruct(const Struct& aStruct)
{
  const auto buffer =
    std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  CompactProtocol protocol(buffer);
  aStruct.write(&protocol);
  return buffer->getBufferAsString();
}

/**
 * Decodes a generated struct. Throws LogError if it is malformed or if a list
 * has more than aMaxItems. Encoded lengths are checked against aMaxItems and
 * against the number of bytes before memory is allocated for them.
 */
template<class Struct>
Struct
DecodeStruct(std::string_view aBytes, size_t aMaxItems)
{
  using apache::thrift::transport::TMemoryBuffer;
  // The buffer does not modify the bytes, but Thrift's interface lacks const.
  auto* bytes = reinterpret_cast<uint8_t*>(const_cast<char*>(aBytes.data()));
  const auto size = static_cast<uint32_t>(aBytes.size());
  const auto buffer = std::make_shared<TMemoryBuffer>(bytes, size);
  CompactProtocol protocol(
    buffer, static_cast<int32_t>(size), static_cast<int32_t>(aMaxItems));
  Struct value;
  try {
    value.read(&protocol);
  } catch (const apache::thrift::TException& error) {
    throw LogError(std::string("malformed record: ") + error.what());
  }
  return value;
}

}

#endif
