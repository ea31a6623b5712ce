#ifndef PISTACHIOSHIFT_INNER_CONTROLCODEC_H
#define PISTACHIOSHIFT_INNER_CONTROLCODEC_H

#include <string>
#include <string_view>

#include "src/Base/Ids.h"
#include "src/Ownership/Messages.h"

namespace pistachioshift {

/** \brief Control message with its sender and addressee; one UDP datagram. */
struct ControlDatagram
{
  DaemonId sender;
  DaemonId addressee;
  ControlMessage message;

  bool operator==(const ControlDatagram&) const = default;
};

/** \brief Encodes the payload of one datagram. */
std::string EncodeControl(const ControlDatagram& aDatagram);

/** \brief Decodes the payload of one datagram.
 * \throws InnerError if it is malformed */
ControlDatagram DecodeControl(std::string_view aBytes);

}

#endif
