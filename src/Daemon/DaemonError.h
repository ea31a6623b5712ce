#ifndef PISTACHIOSHIFT_DAEMON_DAEMONERROR_H
#define PISTACHIOSHIFT_DAEMON_DAEMONERROR_H

#include "src/Base/Error.h"

namespace pistachioshift {

/** \brief Error that keeps the daemon from starting or from running on. */
class DaemonError : public Error
{
public:
  using Error::Error;
};

}

#endif
