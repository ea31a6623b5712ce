#ifndef PISTACHIOSHIFT_BASE_ERROR_H
#define PISTACHIOSHIFT_BASE_ERROR_H

#include <stdexcept>
#include <string>

namespace pistachioshift {

/**
 * \brief Root of all errors thrown by pistachioshift.
 *
 * Each package derives its own error from this one and translates the errors
 * of the packages below it.
 */
class Error : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/** \brief Settings or arguments that can't be used; programs exit with 2. */
class ConfigError : public Error
{
public:
  using Error::Error;
};

}

#endif
