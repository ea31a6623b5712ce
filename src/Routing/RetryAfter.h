#ifndef PISTACHIOSHIFT_ROUTING_RETRYAFTER_H
#define PISTACHIOSHIFT_ROUTING_RETRYAFTER_H

#include "src/Base/Clock.h"

namespace pistachioshift {

/**
 * \brief Time after which a refused caller is asked to return.
 *
 * Callers wait for a third of the time that they have left at most. A longer
 * time would therefore bring back all callers that were refused at the same
 * moment at the same moment, and none is returned.
 * \param aExpected when capacity is expected to be free.
 * \param aLeft time that the caller has left; not positive: unknown.
 * \param aDraw random number from 0 to below 1.
 */
Duration SpreadRetryAfter(Duration aExpected, Duration aLeft, double aDraw);

}

#endif
