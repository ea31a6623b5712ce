#ifndef PISTACHIOSHIFT_INNER_THRIFTCODEC_H
#define PISTACHIOSHIFT_INNER_THRIFTCODEC_H

#include <cstddef>
#include <string>
#include <string_view>

#include "src/Inner/InnerError.h"
#include "src/Log/LogCodec.h"

namespace pistachioshift::internal {

/** Encodes a generated struct in Thrift's compact protocol. */
template<class Struct>
std::string
EncodeWire(const Struct& aStruct)
{
  return EncodeStruct(aStruct);
}

/** Maximum number of items in one list of a frame, datagram or record. */
constexpr size_t kMaxItems = 8192;

/** Maximum number of items in one list of a checkpoint. */
constexpr size_t kMaxSnapshotItems = 1U << 20U;

/** Decodes a generated struct; throws InnerError if malformed or if a list has
 * more than aMaxItems. */
template<class Struct>
Struct
DecodeWire(std::string_view aBytes, size_t aMaxItems = kMaxItems)
{
  try {
    return DecodeStruct<Struct>(aBytes, aMaxItems);
  } catch (const LogError& error) {
    throw InnerError(error.what());
  }
}

}

#endif
