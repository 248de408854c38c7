#include <Guavashift/Agent/HttpPlatform.h>

namespace guavashift {

namespace {

constexpr Duration callTimeout = std::chrono::seconds(1);
constexpr int statusConflict = 409;
constexpr int firstErrorStatus = 300;

std::int64_t bootMs(Instant instant)
{
    return toMs(instant.time_since_epoch());
}

Result<void> withoutValue(const Result<Json> &result)
{
    if (!result)
        return tl::unexpected(result.error());
    return {};
}

} // namespace

HttpPlatform::HttpPlatform(HttpClient &client, std::string address)
    : m_client(client)
    , m_address(std::move(address))
{
}

Result<Json> HttpPlatform::post(const char *target, const Json &json)
{
    const std::string body = json.dump();
    HttpCall call;
    call.address = m_address;
    call.method = "POST";
    call.target = target;
    call.headers.add("Content-Type", "application/json");
    call.body = body;
    call.timeout = callTimeout;
    const auto answer = m_client.send(call);
    if (!answer)
        return fail(ErrorCode::Unavailable, "platform: " + answer.error().message);
    if (answer->status == statusConflict)
        return fail(ErrorCode::Conflict, "platform: " + answer->body);
    if (answer->status >= firstErrorStatus)
        return fail(ErrorCode::Unavailable,
                    fmt::format("platform: status {}: {}", answer->status, answer->body));
    Json parsed = Json::parse(answer->body, nullptr, false);
    if (parsed.is_discarded())
        return fail(ErrorCode::Unavailable, "platform: the answer is not JSON");
    return parsed;
}

Result<PlatformStatus> HttpPlatform::renew(Instant leaseEnd)
{
    const Result<Json> answer = post("/platform/renew", {{"leaseEndBootMs", bootMs(leaseEnd)}});
    if (!answer)
        return tl::unexpected(answer.error());
    try {
        return answer->get<PlatformStatus>();
    } catch (const Json::exception &error) {
        return fail(ErrorCode::Unavailable, error.what());
    }
}

Result<void> HttpPlatform::start(const TaskOrder &order, Instant leaseEnd)
{
    return withoutValue(
        post("/platform/start", {{"order", order}, {"leaseEndBootMs", bootMs(leaseEnd)}}));
}

Result<void> HttpPlatform::stop(const TaskId &task, Attempt attempt)
{
    return withoutValue(post("/platform/stop", {{"task", task}, {"attempt", attempt}}));
}

Result<void> HttpPlatform::throttle(const TaskId &task, Attempt attempt, std::uint32_t speedPercent)
{
    return withoutValue(
        post("/platform/throttle",
             {{"task", task}, {"attempt", attempt}, {"speedPercent", speedPercent}}));
}

Result<void> HttpPlatform::forget(const TaskId &task, Attempt attempt)
{
    return withoutValue(post("/platform/forget", {{"task", task}, {"attempt", attempt}}));
}

} // namespace guavashift
