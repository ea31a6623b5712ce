#ifndef PISTACHIOSHIFT_LOG_FORWARDDECLARATIONS_H
#define PISTACHIOSHIFT_LOG_FORWARDDECLARATIONS_H

namespace pistachioshift {

class HttpLogService;
class LogService;
class LogTask;
struct LogEntry;
struct LogRecord;

}

#endif
