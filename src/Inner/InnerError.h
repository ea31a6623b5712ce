#ifndef PISTACHIOSHIFT_INNER_INNERERROR_H
#define PISTACHIOSHIFT_INNER_INNERERROR_H

#include "src/Base/Error.h"

namespace pistachioshift {

/** \brief Error of the inner package: malformed data from a peer or the log, or
 * a socket that can't be opened. */
class InnerError : public Error
{
public:
  using Error::Error;
};

}

#endif
