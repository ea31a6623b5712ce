#ifndef PISTACHIOSHIFT_CTL_RECORDTEXT_H
#define PISTACHIOSHIFT_CTL_RECORDTEXT_H

#include <string>

#include "src/Log/LogService.h"

namespace pistachioshift {

/** \brief One line on a record; says so if it can't be decoded. */
std::string DescribeEntry(const StreamName& aStream, const LogEntry& aEntry);

}

#endif
