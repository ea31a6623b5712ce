#ifndef PISTACHIOSHIFT_HOSTDAEMON_GATECLASSES_H
#define PISTACHIOSHIFT_HOSTDAEMON_GATECLASSES_H

#include "Pistachioshift/Routing"
#include "src/Daemon/Call.h"

namespace pistachioshift {

/** \brief Settings of the gate of a backend server: a class for each priority
 * and one for nested calls. */
AdmissionSettings GateSettingsFor(uint32_t aSlots);

/** \brief Class of a request at the gate. */
ClassIndex GateClassOf(const CallRequest& aRequest);

}

#endif
