#include <Guavashift/Control/Protocol.h>

namespace guavashift {

namespace {

constexpr std::string_view hintPrefix = "the leader is ";

} // namespace

void to_json(Json &json, const HeartbeatReply &reply)
{
    json = {{"epoch", reply.epoch},
            {"configLeaseMs", reply.configLeaseMs},
            {"workerLeaseMs", reply.workerLeaseMs},
            {"configVersion", reply.configVersion}};
    if (reply.announceNeeded)
        json["announceNeeded"] = true;
    if (reply.configuration)
        json["configuration"] = *reply.configuration;
    if (reply.routing)
        json["routing"] = *reply.routing;
    if (reply.orders)
        json["orders"] = *reply.orders;
}

void from_json(const Json &json, HeartbeatReply &reply)
{
    json.at("epoch").get_to(reply.epoch);
    json.at("configLeaseMs").get_to(reply.configLeaseMs);
    json.at("workerLeaseMs").get_to(reply.workerLeaseMs);
    json.at("configVersion").get_to(reply.configVersion);
    reply.announceNeeded = json.value("announceNeeded", false);
    if (json.contains("configuration"))
        reply.configuration = json["configuration"];
    if (json.contains("routing"))
        reply.routing = json["routing"].get<RoutingUpdate>();
    if (json.contains("orders"))
        reply.orders = json["orders"].get<WorkerOrders>();
}

std::string notLeaderMessage(const std::string &leaderAddress)
{
    return leaderAddress.empty() ? "no leader is known" : std::string(hintPrefix) + leaderAddress;
}

std::optional<std::string> leaderHint(const Error &error)
{
    if (error.code != ErrorCode::NotLeader || !error.message.starts_with(hintPrefix))
        return std::nullopt;
    return error.message.substr(hintPrefix.size());
}

} // namespace guavashift
