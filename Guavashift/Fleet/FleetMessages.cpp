#include <Guavashift/Fleet/FleetMessages.h>

namespace guavashift {

namespace {

template <typename... Values> Json list(Values &&...values)
{
    Json json = Json::array();
    (json.push_back(Json(std::forward<Values>(values))), ...);
    return json;
}

// Lifetimes, tasks and rows.

Json pack(const Lifetime &lifetime)
{
    return list(lifetime.worker, lifetime.born);
}

void unpack(const Json &json, Lifetime &lifetime)
{
    json.at(0).get_to(lifetime.worker);
    json.at(1).get_to(lifetime.born);
}

Json pack(const TaskRef &ref)
{
    return list(ref.job, ref.occurrence, ref.step, ref.task);
}

void unpack(const Json &json, TaskRef &ref)
{
    json.at(0).get_to(ref.job);
    json.at(1).get_to(ref.occurrence);
    json.at(2).get_to(ref.step);
    json.at(3).get_to(ref.task);
}

Json pack(const RunRow &row)
{
    return list(pack(row.task), row.run, row.checkpoint, row.percent, row.figure);
}

void unpack(const Json &json, RunRow &row)
{
    unpack(json.at(0), row.task);
    json.at(1).get_to(row.run);
    json.at(2).get_to(row.checkpoint);
    json.at(3).get_to(row.percent);
    json.at(4).get_to(row.figure);
}

Json pack(const RunTraits &traits)
{
    return list(pack(traits.task), traits.run, traits.image, traits.tailTargetMs,
                traits.fillsLeftover, traits.milliCores);
}

void unpack(const Json &json, RunTraits &traits)
{
    unpack(json.at(0), traits.task);
    json.at(1).get_to(traits.run);
    json.at(2).get_to(traits.image);
    json.at(3).get_to(traits.tailTargetMs);
    json.at(4).get_to(traits.fillsLeftover);
    json.at(5).get_to(traits.milliCores);
}

Json pack(const HarmRow &row)
{
    return list(row.serving, row.filler, row.harm);
}

void unpack(const Json &json, HarmRow &row)
{
    json.at(0).get_to(row.serving);
    json.at(1).get_to(row.filler);
    json.at(2).get_to(row.harm);
}

Json pack(const ListedEnd &end)
{
    return list(end.number, pack(end.end.task), end.end.run, end.end.end, end.end.checkpoint);
}

void unpack(const Json &json, ListedEnd &end)
{
    json.at(0).get_to(end.number);
    unpack(json.at(1), end.end.task);
    json.at(2).get_to(end.end.run);
    end.end.end = json.at(3).get<RunEnd>();
    json.at(4).get_to(end.end.checkpoint);
}

template <typename Item> Json packAll(const std::vector<Item> &items)
{
    Json json = Json::array();
    for (const Item &item : items)
        json.push_back(pack(item));
    return json;
}

template <typename Item> void unpackAll(const Json &json, std::vector<Item> &items)
{
    for (const Json &each : json)
        unpack(each, items.emplace_back());
}

// Messages.

Json pack(const AskLeader &)
{
    return Json::array();
}

void unpack(const Json &, AskLeader &) { }

Json pack(const LeaderIs &message)
{
    return list(message.self, message.address);
}

void unpack(const Json &json, LeaderIs &message)
{
    json.at(0).get_to(message.self);
    json.at(1).get_to(message.address);
}

Json pack(const Hello &message)
{
    return list(message.role, message.node, message.address);
}

void unpack(const Json &json, Hello &message)
{
    message.role = json.at(0).get<NodeRole>();
    json.at(1).get_to(message.node);
    json.at(2).get_to(message.address);
}

Json pack(const Welcome &message)
{
    return list(message.fence, message.leaseMs);
}

void unpack(const Json &json, Welcome &message)
{
    json.at(0).get_to(message.fence);
    json.at(1).get_to(message.leaseMs);
}

Json pack(const Directory &message)
{
    return list(message.cores, message.relays);
}

void unpack(const Json &json, Directory &message)
{
    json.at(0).get_to(message.cores);
    json.at(1).get_to(message.relays);
}

Json pack(const RelayTo &message)
{
    return list(message.address);
}

void unpack(const Json &json, RelayTo &message)
{
    json.at(0).get_to(message.address);
}

Json pack(const ReplicaMessages &message)
{
    return list(message.address, message.envelopes);
}

void unpack(const Json &json, ReplicaMessages &message)
{
    json.at(0).get_to(message.address);
    json.at(1).get_to(message.envelopes);
}

Json pack(const JoinRequest &message)
{
    return list(message.member);
}

void unpack(const Json &json, JoinRequest &message)
{
    json.at(0).get_to(message.member);
}

Json pack(const RenewLease &message)
{
    return list(message.sentAt);
}

void unpack(const Json &json, RenewLease &message)
{
    json.at(0).get_to(message.sentAt);
}

Json pack(const LeaseGranted &message)
{
    return list(message.sentAt);
}

void unpack(const Json &json, LeaseGranted &message)
{
    json.at(0).get_to(message.sentAt);
}

Json pack(const WorkerReport &message)
{
    const WorkerFacts &facts = message.facts;
    return list(pack(facts.lifetime), facts.service, facts.zone, facts.machine, facts.capacity,
                facts.labels, facts.draining, facts.drainLeftMs);
}

void unpack(const Json &json, WorkerReport &message)
{
    WorkerFacts &facts = message.facts;
    unpack(json.at(0), facts.lifetime);
    json.at(1).get_to(facts.service);
    json.at(2).get_to(facts.zone);
    json.at(3).get_to(facts.machine);
    json.at(4).get_to(facts.capacity);
    json.at(5).get_to(facts.labels);
    json.at(6).get_to(facts.draining);
    json.at(7).get_to(facts.drainLeftMs);
}

Json pack(const Inventory &message)
{
    return list(pack(message.lifetime), packAll(message.rows));
}

void unpack(const Json &json, Inventory &message)
{
    unpack(json.at(0), message.lifetime);
    unpackAll(json.at(1), message.rows);
}

Json pack(const RunTable &message)
{
    return list(pack(message.lifetime), packAll(message.rows));
}

void unpack(const Json &json, RunTable &message)
{
    unpack(json.at(0), message.lifetime);
    unpackAll(json.at(1), message.rows);
}

Json pack(const RunsEnded &message)
{
    return list(pack(message.lifetime), packAll(message.ends));
}

void unpack(const Json &json, RunsEnded &message)
{
    unpack(json.at(0), message.lifetime);
    unpackAll(json.at(1), message.ends);
}

Json pack(const EndsCommitted &message)
{
    return list(pack(message.lifetime), message.upTo);
}

void unpack(const Json &json, EndsCommitted &message)
{
    unpack(json.at(0), message.lifetime);
    json.at(1).get_to(message.upTo);
}

Json pack(const StartRefused &message)
{
    return list(pack(message.lifetime), pack(message.task), message.run, message.reason);
}

void unpack(const Json &json, StartRefused &message)
{
    unpack(json.at(0), message.lifetime);
    unpack(json.at(1), message.task);
    json.at(2).get_to(message.run);
    json.at(3).get_to(message.reason);
}

Json pack(const LifetimeEnded &message)
{
    return list(pack(message.lifetime), message.silent);
}

void unpack(const Json &json, LifetimeEnded &message)
{
    unpack(json.at(0), message.lifetime);
    json.at(1).get_to(message.silent);
}

Json pack(const KnownRuns &message)
{
    return list(packAll(message.runs));
}

void unpack(const Json &json, KnownRuns &message)
{
    unpackAll(json.at(0), message.runs);
}

Json pack(const StartOrder &message)
{
    return list(pack(message.lifetime), pack(message.traits), message.payload, message.checkpoint,
                message.approval);
}

void unpack(const Json &json, StartOrder &message)
{
    unpack(json.at(0), message.lifetime);
    unpack(json.at(1), message.traits);
    json.at(2).get_to(message.payload);
    json.at(3).get_to(message.checkpoint);
    json.at(4).get_to(message.approval);
}

Json pack(const StopOrder &message)
{
    return list(pack(message.lifetime), pack(message.task), message.run);
}

void unpack(const Json &json, StopOrder &message)
{
    unpack(json.at(0), message.lifetime);
    unpack(json.at(1), message.task);
    json.at(2).get_to(message.run);
}

Json pack(const FleetCall &message)
{
    return list(message.id, message.kind, message.host, message.path,
                message.plan ? Json(*message.plan) : Json(), message.document, message.request);
}

void unpack(const Json &json, FleetCall &message)
{
    json.at(0).get_to(message.id);
    message.kind = json.at(1).get<CallKind>();
    json.at(2).get_to(message.host);
    json.at(3).get_to(message.path);
    if (!json.at(4).is_null())
        message.plan = json.at(4).get<JobPlan>();
    json.at(5).get_to(message.document);
    json.at(6).get_to(message.request);
}

Json pack(const FleetAnswer &message)
{
    return list(message.id, message.result, message.text, message.number);
}

void unpack(const Json &json, FleetAnswer &message)
{
    json.at(0).get_to(message.id);
    message.result = json.at(1).get<CallResult>();
    json.at(2).get_to(message.text);
    json.at(3).get_to(message.number);
}

Json pack(const HarmReport &message)
{
    return list(packAll(message.rows));
}

void unpack(const Json &json, HarmReport &message)
{
    unpackAll(json.at(0), message.rows);
}

/// Makes the alternative at `index` and reads it.
template <std::size_t index = 0> FleetMessage unpackMessage(std::size_t wanted, const Json &json)
{
    if constexpr (index < std::variant_size_v<FleetMessage>) {
        if (wanted == index) {
            std::variant_alternative_t<index, FleetMessage> message;
            unpack(json, message);
            return message;
        }
        return unpackMessage<index + 1>(wanted, json);
    } else {
        throw Json::other_error::create(501, "unknown kind of message", nullptr);
    }
}

} // namespace

std::string encodeFrame(const FleetMessage &message)
{
    Json body = std::visit([](const auto &each) { return pack(each); }, message);
    std::string frame;
    Json::to_cbor(Json::array({message.index(), std::move(body)}), frame);
    return frame;
}

std::optional<FleetMessage> decodeFrame(std::string_view frame)
{
    try {
        const Json json = Json::from_cbor(frame);
        return unpackMessage(json.at(0).get<std::size_t>(), json.at(1));
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace guavashift
