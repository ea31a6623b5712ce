#ifndef PISTACHIOSHIFT_INNER_THRIFTCODEC_H
#define PISTACHIOSHIFT_INNER_THRIFTCODEC_H

#include <string>
#include <string_view>

#include "src/Inner/InnerError.h"
#include "src/Log/LogCodec.h"

namespace pistachioshift::internal {

/** Encodes a generated struct in the compact protocol. */
template<class Struct>
std::string
EncodeWire(const Struct& aStruct)
{
  return EncodeStruct(aStruct);
}

/** Decodes a generated struct; InnerError if malformed. */
template<class Struct>
Struct
DecodeWire(std::string_view aBytes)
{
  try {
    return DecodeStruct<Struct>(aBytes);
  } catch (const LogError& error) {
    throw InnerError(error.what());
  }
}

}

#endif
