#include <Tool/AdminClient.h>

#include <thread>

namespace guavashift {

namespace {

constexpr Duration callTimeout = std::chrono::seconds(6);
constexpr Duration roundPause = std::chrono::milliseconds(200);
constexpr int rounds = 5;
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;

} // namespace

AdminClient::AdminClient(std::vector<std::string> addresses, std::string token)
    : m_addresses(std::move(addresses))
    , m_token(std::move(token))
    , m_client(HttpClientSettings())
{
}

Result<AdminAnswer> AdminClient::send(const std::string &method, const std::string &target,
                                      const Json &body)
{
    const std::string text = body.is_null() ? std::string() : body.dump();
    Error lastError{ErrorCode::Unavailable, "no administration address is given"};
    for (int round = 0; round < rounds; ++round) {
        for (const std::string &address : m_addresses) {
            HttpCall call;
            call.address = address;
            call.method = method;
            call.target = target;
            call.body = text;
            call.timeout = callTimeout;
            if (!m_token.empty())
                call.headers.add("Authorization", "Bearer " + m_token);
            const auto answer = m_client.send(call);
            if (!answer) {
                lastError = {ErrorCode::Unavailable, address + ": " + answer.error().message};
                continue;
            }
            Json json = Json::parse(answer->body, nullptr, false);
            if (answer->status == statusUnavailable || answer->status == statusTimeout) {
                lastError = {ErrorCode::Unavailable, address + ": " + answer->body};
                continue;
            }
            return AdminAnswer{answer->status, std::move(json)};
        }
        std::this_thread::sleep_for(roundPause);
    }
    return tl::unexpected(lastError);
}

} // namespace guavashift
