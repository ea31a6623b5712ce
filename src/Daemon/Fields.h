#ifndef PISTACHIOSHIFT_DAEMON_FIELDS_H
#define PISTACHIOSHIFT_DAEMON_FIELDS_H

/** \brief Names of HTTP header fields; see docs/OPERATING.md. */
namespace pistachioshift::fields {

// Request fields set by callers.
inline constexpr const char* kKey = "Pistachio-Key";
inline constexpr const char* kTimeout = "Pistachio-Timeout-Ms";
inline constexpr const char* kIdempotencyKey = "Idempotency-Key";
inline constexpr const char* kRepeat = "Pistachio-Repeat";

// Response fields sent to callers.
inline constexpr const char* kOutcome = "Pistachio-Outcome";
inline constexpr const char* kReason = "Pistachio-Reason";
inline constexpr const char* kOwner = "Pistachio-Owner";

// Request fields sent to backend servers.
inline constexpr const char* kFence = "Pistachio-Fence";
inline constexpr const char* kRange = "Pistachio-Range";
inline constexpr const char* kRequest = "Pistachio-Request";
inline constexpr const char* kDeadline = "Pistachio-Deadline";

}

#endif
