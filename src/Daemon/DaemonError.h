#ifndef PISTACHIOSHIFT_DAEMON_DAEMONERROR_H
#define PISTACHIOSHIFT_DAEMON_DAEMONERROR_H

#include "src/Base/Error.h"

namespace pistachioshift {

/** \brief The daemon can't start or go on. */
class DaemonError : public Error
{
public:
  using Error::Error;
};

}

#endif
