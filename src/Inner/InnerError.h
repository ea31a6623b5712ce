#ifndef PISTACHIOSHIFT_INNER_INNERERROR_H
#define PISTACHIOSHIFT_INNER_INNERERROR_H

#include "src/Base/Error.h"

namespace pistachioshift {

/** \brief Bytes from another daemon or the log that can't be decoded. */
class InnerError : public Error
{
public:
  using Error::Error;
};

}

#endif
