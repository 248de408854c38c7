#pragma once

#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace guavashift {

/// Position in a trace, as carried by the W3C header `traceparent`.
struct TraceContext
{
    std::string traceId; ///< 32 hexadecimal digits.
    std::string spanId;  ///< 16 hexadecimal digits.
    bool sampled = false;

    /// Reads a header value; nothing if it is malformed or all zero.
    static std::optional<TraceContext> parse(std::string_view header);

    /// A new trace.
    static TraceContext start(std::mt19937_64 &random, bool sampled);

    /// The same trace with a new span.
    [[nodiscard]] TraceContext child(std::mt19937_64 &random) const;

    [[nodiscard]] std::string header() const;
};

} // namespace guavashift
