#ifndef PISTACHIOSHIFT_TEST_OWNERSHIP_TRACESUPPORT_H
#define PISTACHIOSHIFT_TEST_OWNERSHIP_TRACESUPPORT_H

#include <string>

#include "src/Ownership/Records.h"

namespace pistachioshift {

/** \brief Short descriptions for traces of schedules. */
std::string Describe(const EntryKey& aKey);
std::string Describe(const OwnershipRecord& aRecord);

}

#endif
