#include <Guavashift/Control/ControlClient.h>

#include <algorithm>
#include <thread>

namespace guavashift {

namespace {

/// Limits the call to one replica, so that time is left for another replica to answer.
constexpr Duration tryTimeout = std::chrono::milliseconds(700);
/// Pause after a failed round over all replicas.
constexpr Duration roundPause = std::chrono::milliseconds(50);
/// Leader hints that are followed in a row before the search continues in order.
constexpr int maxHints = 3;

} // namespace

ControlClient::ControlClient(const RpcSettings &settings, std::vector<std::string> addresses)
    : m_settings(settings)
    , m_addresses(std::move(addresses))
{
    GUAVASHIFT_CHECK(!m_addresses.empty());
    m_current = m_addresses.front();
}

RpcClient &ControlClient::clientFor(const std::string &address)
{
    std::unique_ptr<RpcClient> &client = m_clients[address];
    if (!client) {
        const Result<Address> parsed = Address::parse(address);
        client = std::make_unique<RpcClient>(m_settings, parsed ? *parsed : Address());
    }
    return *client;
}

void ControlClient::nextAddress()
{
    m_position = (m_position + 1) % m_addresses.size();
    m_current = m_addresses[m_position];
}

Result<Json> ControlClient::call(const std::string &method, const Json &parameters,
                                 Duration timeout)
{
    const std::lock_guard lock(m_mutex);
    const Instant deadline = BootClock::now() + timeout;
    Error lastError{ErrorCode::Unavailable, "no control process answered"};
    int hints = 0;
    std::size_t failures = 0;
    for (Instant now = BootClock::now(); now < deadline; now = BootClock::now()) {
        Result<Json> result =
            clientFor(m_current).call(method, parameters, std::min(tryTimeout, deadline - now));
        if (result)
            return result;
        lastError = result.error();
        const std::optional<std::string> hint = leaderHint(lastError);
        const bool mayTryNext = lastError.code == ErrorCode::NotLeader
            || lastError.code == ErrorCode::Unavailable || lastError.code == ErrorCode::Timeout;
        if (!mayTryNext)
            return result;
        // The number of hints is limited because two replicas may name each other as leader.
        if (hint && *hint != m_current && hints++ < maxHints) {
            m_current = *hint;
            continue;
        }
        hints = 0;
        nextAddress();
        if (++failures % m_addresses.size() == 0)
            std::this_thread::sleep_for(roundPause);
    }
    return tl::unexpected(lastError);
}

Result<std::vector<Outcome>> ControlClient::execute(const std::vector<CommandBody> &commands,
                                                    Duration timeout)
{
    Json list = Json::array();
    for (const CommandBody &command : commands)
        list.push_back(variantToJson(command));
    Result<Json> result = call(method::execute, {{"commands", std::move(list)}}, timeout);
    if (!result)
        return tl::unexpected(result.error());
    std::vector<Outcome> outcomes;
    try {
        for (const Json &outcome : *result)
            outcomes.push_back(variantFromJson<Outcome>(outcome));
    } catch (const Json::exception &error) {
        return fail(ErrorCode::Timeout, error.what());
    }
    if (outcomes.size() != commands.size())
        return fail(ErrorCode::Timeout, "outcomes are missing");
    return outcomes;
}

Result<Outcome> ControlClient::execute(const CommandBody &command, Duration timeout)
{
    Result<std::vector<Outcome>> outcomes = execute(std::vector{command}, timeout);
    if (!outcomes)
        return tl::unexpected(outcomes.error());
    return std::move(outcomes->front());
}

} // namespace guavashift
