#ifndef PISTACHIOSHIFT_BASE_FORWARDDECLARATIONS_H
#define PISTACHIOSHIFT_BASE_FORWARDDECLARATIONS_H

namespace pistachioshift {

class Clock;
class Error;
class Logger;
struct Endpoint;
struct FenceToken;
struct RequestId;

}

#endif
