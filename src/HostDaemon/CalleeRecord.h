#ifndef PISTACHIOSHIFT_HOSTDAEMON_CALLEERECORD_H
#define PISTACHIOSHIFT_HOSTDAEMON_CALLEERECORD_H

#include "src/Daemon/IngressDialect.h"
#include "src/Routing/CalleeThrottle.h"

namespace pistachioshift {

/** \brief What the end of a nested call says about its callee. */
CalleeResult CalleeResultOf(const IngressRecord& aRecord);

}

#endif
