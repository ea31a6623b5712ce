#ifndef PISTACHIOSHIFT_ROUTING_ROUTINGERROR_H
#define PISTACHIOSHIFT_ROUTING_ROUTINGERROR_H

#include "src/Base/Error.h"

namespace pistachioshift {

/** \brief Settings or calls that package Routing can't carry out. */
class RoutingError : public Error
{
public:
  using Error::Error;
};

}

#endif
