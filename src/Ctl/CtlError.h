#ifndef PISTACHIOSHIFT_CTL_CTLERROR_H
#define PISTACHIOSHIFT_CTL_CTLERROR_H

#include "src/Base/Error.h"

namespace pistachioshift {

/** \brief Exit codes of pistachioctl. */
enum class ExitCode
{
  kDone = 0,        ///< Done; of an edit: accepted.
  kRefused = 1,     ///< Refused, or not so everywhere yet.
  kBadInput = 2,    ///< Bad arguments, or a file that can't be used.
  kUnreachable = 3, ///< No answer; of an edit: not written, or unknown.
};

/** \brief Root of pistachioctl's own errors. */
class CtlError : public Error
{
public:
  using Error::Error;
};

/** \brief The log service or a daemon gave no usable answer. */
class UnreachableError : public CtlError
{
public:
  using CtlError::CtlError;
};

/** \brief A daemon answered with a refusal. */
class RefusedError : public CtlError
{
public:
  using CtlError::CtlError;
};

}

#endif
