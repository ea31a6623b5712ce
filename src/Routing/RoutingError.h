#ifndef PISTACHIOSHIFT_ROUTING_ROUTINGERROR_H
#define PISTACHIOSHIFT_ROUTING_ROUTINGERROR_H

#include "src/Base/Error.h"

namespace pistachioshift {

/** \brief Invalid settings or arguments in package Routing. */
class RoutingError : public Error
{
public:
  using Error::Error;
};

}

#endif
