#pragma once

#include <Guavashift/Agent/Platform.h>

namespace guavashift {

/// Calls the platform over HTTP with JSON.
///
/// Errors: Conflict if the platform answers with status 409, else Unavailable.
class HttpPlatform final : public Platform
{
public:
    HttpPlatform(HttpClient &client, std::string address);

    Result<PlatformStatus> renew(Instant leaseEnd) override;
    Result<void> start(const TaskOrder &order, Instant leaseEnd) override;
    Result<void> stop(const TaskId &task, Attempt attempt) override;
    Result<void> throttle(const TaskId &task, Attempt attempt, std::uint32_t speedPercent) override;
    Result<void> forget(const TaskId &task, Attempt attempt) override;

private:
    Result<Json> post(const char *target, const Json &json);

    HttpClient &m_client;
    std::string m_address;
};

} // namespace guavashift
