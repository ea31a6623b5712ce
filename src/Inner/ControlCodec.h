#ifndef PISTACHIOSHIFT_INNER_CONTROLCODEC_H
#define PISTACHIOSHIFT_INNER_CONTROLCODEC_H

#include <string>
#include <string_view>

#include "src/Base/Ids.h"
#include "src/Ownership/Messages.h"

namespace pistachioshift {

/** \brief A control message with its sender and addressee, as in a datagram. */
struct ControlDatagram
{
  DaemonId sender;
  DaemonId addressee;
  ControlMessage message;

  bool operator==(const ControlDatagram&) const = default;
};

/** \brief Bytes of one datagram. */
std::string EncodeControl(const ControlDatagram& aDatagram);

/** \brief Throws InnerError for malformed bytes. */
ControlDatagram DecodeControl(std::string_view aBytes);

}

#endif
