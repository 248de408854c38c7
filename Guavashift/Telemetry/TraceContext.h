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

    /// Parses a header value; nothing if it is malformed or an id is all zero.
    static std::optional<TraceContext> parse(std::string_view header);

    /// Context of a new trace.
    static TraceContext start(std::mt19937_64 &random, bool sampled);

    /// Context of a new span in the same trace.
    [[nodiscard]] TraceContext child(std::mt19937_64 &random) const;

    /// Value of the header `traceparent`.
    [[nodiscard]] std::string header() const;
};

} // namespace guavashift
