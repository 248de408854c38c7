#pragma once

#include <Guavashift/Core/Core.h>

#include <string_view>

namespace guavashift {

struct RetryAdviceSettings
{
    /// Callers are never asked to return sooner.
    Duration shortest = std::chrono::seconds(1);
    /// Callers are never asked to return later: nothing is known about the time after.
    Duration longest = std::chrono::seconds(30);
    /// Returns are spread over this share of the wait, and over one second at least.
    double spread = 0.5;
};

/// Seconds after which a refused caller should return. Callers refused for the same reason return
/// spread out, not together: `key` identifies the request, and equal keys get equal advice.
class RetryAdvice final
{
public:
    explicit RetryAdvice(const RetryAdviceSettings &settings);

    /// `expected`: time until a request like this one can be taken. `callerTime`: longest time that
    /// the caller waits in all; zero if it named none. Advice beyond it would turn the caller away,
    /// so the spread ends there if the expected time does not.
    [[nodiscard]] std::int64_t seconds(std::string_view key, Duration expected,
                                       Duration callerTime) const;

private:
    RetryAdviceSettings m_settings;
};

} // namespace guavashift
