#ifndef PISTACHIOSHIFT_BASE_ERROR_H
#define PISTACHIOSHIFT_BASE_ERROR_H

#include <stdexcept>
#include <string>

namespace pistachioshift {

/**
 * \brief Base class of all exceptions thrown by pistachioshift.
 *
 * Each package derives its own exception from this one and translates the
 * exceptions of the packages that it depends on.
 */
class Error : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/** \brief Invalid settings or arguments; programs exit with status 2. */
class ConfigError : public Error
{
public:
  using Error::Error;
};

}

#endif
