#ifndef PISTACHIOSHIFT_HTTP_HTTPERROR_H
#define PISTACHIOSHIFT_HTTP_HTTPERROR_H

#include "src/Base/Error.h"

namespace pistachioshift {

/** \brief A socket that can't be opened or a message that can't be written. */
class HttpError : public Error
{
public:
  using Error::Error;
};

}

#endif
