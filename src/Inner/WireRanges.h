#ifndef PISTACHIOSHIFT_INNER_WIRERANGES_H
#define PISTACHIOSHIFT_INNER_WIRERANGES_H

#include "src/Inner/Frames.h"
#include "src/Inner/gen/frames_types.h"

namespace pistachioshift::internal::hosts {

/** Convert frames about hosts and ranges; FromWire throws InnerError if a value
 * is out of bounds. */
wire::WireHostReport ToWire(const HostReport& aReport);
wire::WireHostOrders ToWire(const HostOrders& aOrders);
wire::WireStateQuery ToWire(const StateQuery& aQuery);
wire::WireStateReply ToWire(const StateReply& aReply);
wire::WireRangeRelease ToWire(const RangeRelease& aRelease);

HostReport FromWire(const wire::WireHostReport& aReport);
HostOrders FromWire(const wire::WireHostOrders& aOrders);
StateReply FromWire(const wire::WireStateReply& aReply);
RangeRelease FromWire(const wire::WireRangeRelease& aRelease);

}

#endif
