#include <Guavashift/Telemetry/TraceContext.h>

#include <algorithm>
#include <fmt/format.h>

namespace guavashift {

namespace {

constexpr std::size_t headerLength = 55;
constexpr std::size_t traceIdOffset = 3;
constexpr std::size_t traceIdLength = 32;
constexpr std::size_t spanIdOffset = 36;
constexpr std::size_t spanIdLength = 16;
constexpr std::size_t flagsOffset = 53;

bool isLowerHex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool isZero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

std::string newSpanId(std::mt19937_64 &random)
{
    return fmt::format("{:016x}", random() | 1U);
}

} // namespace

std::optional<TraceContext> TraceContext::parse(std::string_view header)
{
    if (header.size() < headerLength || header.substr(0, 2) == "ff" || header[2] != '-'
        || header[spanIdOffset - 1] != '-' || header[flagsOffset - 1] != '-')
        return std::nullopt;
    const std::string_view traceId = header.substr(traceIdOffset, traceIdLength);
    const std::string_view spanId = header.substr(spanIdOffset, spanIdLength);
    const std::string_view flags = header.substr(flagsOffset, 2);
    if (!isLowerHex(header.substr(0, 2)) || !isLowerHex(traceId) || !isLowerHex(spanId)
        || !isLowerHex(flags) || isZero(traceId) || isZero(spanId))
        return std::nullopt;
    const bool sampled = (std::stoi(std::string(flags), nullptr, 16) & 1) != 0;
    return TraceContext{std::string(traceId), std::string(spanId), sampled};
}

TraceContext TraceContext::start(std::mt19937_64 &random, bool sampled)
{
    return {fmt::format("{:016x}{:016x}", random(), random() | 1U), newSpanId(random), sampled};
}

TraceContext TraceContext::child(std::mt19937_64 &random) const
{
    return {traceId, newSpanId(random), sampled};
}

std::string TraceContext::header() const
{
    return fmt::format("00-{}-{}-{}", traceId, spanId, sampled ? "01" : "00");
}

} // namespace guavashift
