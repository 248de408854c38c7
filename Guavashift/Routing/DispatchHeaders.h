#pragma once

#include <string_view>

namespace guavashift::header {

/// Headers of callers' requests and of the answers they get.
inline constexpr std::string_view run = "Guavashift-Run";
inline constexpr std::string_view requestId = "Guavashift-Request-Id";
inline constexpr std::string_view idempotencyKey = "Idempotency-Key";
inline constexpr std::string_view nonIdempotent = "Guavashift-Non-Idempotent";
inline constexpr std::string_view keyExpires = "Guavashift-Key-Expires";
inline constexpr std::string_view timeoutMs = "Guavashift-Timeout-Ms";
inline constexpr std::string_view traceparent = "traceparent";

/// Headers between entry and agent.
inline constexpr std::string_view service = "Guavashift-Service";
inline constexpr std::string_view incarnation = "Guavashift-Incarnation";
inline constexpr std::string_view window = "Guavashift-Window";
inline constexpr std::string_view keyed = "Guavashift-Keyed";
inline constexpr std::string_view once = "Guavashift-Once";
inline constexpr std::string_view refusal = "Guavashift-Refusal";

/// Values of `run`.
inline constexpr std::string_view runRan = "ran";
inline constexpr std::string_view runNotRun = "not-run";
inline constexpr std::string_view runUnknown = "unknown";

} // namespace guavashift::header
