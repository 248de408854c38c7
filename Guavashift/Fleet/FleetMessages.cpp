#include <Guavashift/Fleet/FleetMessages.h>

#include <array>
#include <span>
#include <tuple>

namespace guavashift {

namespace {

constexpr std::array<std::string_view, 7> kindNames{
    "submit",   "ask",      "cancel", "replace-configuration", "read-configuration",
    "evacuate", "take-back"};
constexpr std::array<std::string_view, 9> resultNames{"done",     "state",       "pending",
                                                      "document", "no-queue",    "no-job",
                                                      "invalid",  "unavailable", "unknown"};

/// Name of an enum value, or "other": another version of the program may send values that have no
/// name here.
template <typename Value>
std::string_view nameIn(std::span<const std::string_view> names, Value value)
{
    const auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : "other";
}

/// Matches a `Wanted`, const (to be written) or not (to be read).
template <typename Value, typename Wanted>
concept Is = std::same_as<std::remove_const_t<Value>, Wanted>;

// The fields of each type, in their order in a frame.

auto fields(Is<Lifetime> auto &value)
{
    return std::tie(value.worker, value.startedAt);
}

auto fields(Is<TaskRef> auto &value)
{
    return std::tie(value.job, value.occurrence, value.step, value.task);
}

auto fields(Is<TaskRun> auto &value)
{
    return std::tie(value.task, value.run);
}

auto fields(Is<RunStatus> auto &value)
{
    return std::tie(value.task, value.run, value.checkpoint, value.percent, value.measurement);
}

auto fields(Is<RunTraits> auto &value)
{
    return std::tie(value.task, value.run, value.image, value.tailTargetMs, value.bestEffort,
                    value.milliCores);
}

auto fields(Is<InterferenceRow> auto &value)
{
    return std::tie(value.latencyCriticalImage, value.bestEffortImage, value.interference);
}

auto fields(Is<ListedEnd> auto &value)
{
    return std::tie(value.number, value.end.task, value.end.run, value.end.end,
                    value.end.checkpoint);
}

auto fields(Is<WorkerFacts> auto &value)
{
    return std::tie(value.lifetime, value.service, value.zone, value.machine, value.capacity,
                    value.labels, value.draining, value.drainLeftMs, value.coldLeftMs);
}

auto fields(Is<LeaderQuery> auto &)
{
    return std::tie();
}

auto fields(Is<LeaderReply> auto &value)
{
    return std::tie(value.isLeader, value.address);
}

auto fields(Is<OpenSession> auto &value)
{
    return std::tie(value.role, value.node, value.address);
}

auto fields(Is<SessionOpened> auto &value)
{
    return std::tie(value.fence, value.leaseMs);
}

auto fields(Is<Directory> auto &value)
{
    return std::tie(value.cores, value.relays);
}

auto fields(Is<RelayTo> auto &value)
{
    return std::tie(value.address);
}

auto fields(Is<ReplicaMessages> auto &value)
{
    return std::tie(value.address, value.envelopes);
}

auto fields(Is<JoinRequest> auto &value)
{
    return std::tie(value.member);
}

auto fields(Is<RenewLease> auto &value)
{
    return std::tie(value.sentAt);
}

auto fields(Is<LeaseGranted> auto &value)
{
    return std::tie(value.sentAt);
}

auto fields(Is<WorkerReport> auto &value)
{
    return fields(value.facts);
}

auto fields(Is<Inventory> auto &value)
{
    return std::tie(value.lifetime, value.rows);
}

auto fields(Is<RunTable> auto &value)
{
    return std::tie(value.lifetime, value.rows);
}

auto fields(Is<RunsEnded> auto &value)
{
    return std::tie(value.lifetime, value.ends);
}

auto fields(Is<EndsCommitted> auto &value)
{
    return std::tie(value.lifetime, value.upTo);
}

auto fields(Is<StartRefused> auto &value)
{
    return std::tie(value.lifetime, value.task, value.run, value.reason);
}

auto fields(Is<LifetimeEnded> auto &value)
{
    return std::tie(value.lifetime, value.unreachable);
}

auto fields(Is<EndProven> auto &value)
{
    return std::tie(value.lifetime, value.proof);
}

auto fields(Is<LifetimeAnswered> auto &value)
{
    return std::tie(value.lifetime);
}

auto fields(Is<WorkerCrashed> auto &value)
{
    return std::tie(value.lifetime, value.recentRuns);
}

auto fields(Is<OpenStarts> auto &value)
{
    return std::tie(value.lifetime, value.runs);
}

auto fields(Is<CallerLimitsInForce> auto &value)
{
    return std::tie(value.limits.maxBodyBytes, value.limits.idleMs);
}

auto fields(Is<LateStarts> auto &value)
{
    return std::tie(value.lifetime, value.runs, value.namesAll);
}

auto fields(Is<StateRequest> auto &value)
{
    return std::tie(value.address, value.index, value.offset);
}

auto fields(Is<StatePart> auto &value)
{
    return std::tie(value.index, value.term, value.offset, value.totalBytes, value.data,
                    value.digest, value.format);
}

auto fields(Is<KnownRuns> auto &value)
{
    return std::tie(value.runs);
}

auto fields(Is<StartOrder> auto &value)
{
    return std::tie(value.lifetime, value.traits, value.payload, value.checkpoint, value.approval);
}

auto fields(Is<StopOrder> auto &value)
{
    return std::tie(value.lifetime, value.task, value.run);
}

auto fields(Is<FleetCall> auto &value)
{
    return std::tie(value.id, value.kind, value.host, value.path, value.plan, value.document,
                    value.request);
}

auto fields(Is<FleetAnswer> auto &value)
{
    return std::tie(value.id, value.result, value.text, value.number);
}

auto fields(Is<InterferenceReport> auto &value)
{
    return std::tie(value.rows);
}

/// Number of the last fields of a type, all of them numbers, that nodes of the version before do
/// not send. They read only the fields that they know. Those that are 0 are left out at the end.
template <typename Value> constexpr std::size_t addedFields = 0;
template <> constexpr std::size_t addedFields<WorkerFacts> = 1;
template <> constexpr std::size_t addedFields<WorkerReport> = addedFields<WorkerFacts>;

template <typename Value>
concept HasFields = requires(Value &value)
{
    fields(value);
};

// Writing.

Json pack(const auto &value);

template <typename Item> Json packField(const Item &field)
{
    if constexpr (HasFields<const Item>)
        return pack(field);
    else
        return Json(field);
}

template <typename Item> Json packField(const std::vector<Item> &items)
{
    Json json = Json::array();
    for (const Item &item : items)
        json.push_back(packField(item));
    return json;
}

template <typename Item> Json packField(const std::optional<Item> &field)
{
    return field ? Json(*field) : Json();
}

Json pack(const auto &value)
{
    Json json = Json::array();
    std::apply([&](const auto &...each) { (json.push_back(packField(each)), ...); }, fields(value));
    constexpr std::size_t added = addedFields<std::remove_cvref_t<decltype(value)>>;
    for (std::size_t i = 0; i < added && json.back() == 0; ++i)
        json.erase(json.size() - 1);
    return json;
}

// Reading.

void unpack(const Json &json, auto &value);

template <typename Item> void unpackField(const Json &json, Item &field)
{
    if constexpr (HasFields<Item>)
        unpack(json, field);
    else
        json.get_to(field);
}

template <typename Item> void unpackField(const Json &json, std::vector<Item> &items)
{
    if constexpr (HasFields<Item>) {
        for (const Json &each : json)
            unpack(each, items.emplace_back());
    } else {
        json.get_to(items);
    }
}

template <typename Item> void unpackField(const Json &json, std::optional<Item> &field)
{
    if (!json.is_null())
        field = json.get<Item>();
}

void unpack(const Json &json, auto &value)
{
    constexpr std::size_t added = addedFields<std::remove_cvref_t<decltype(value)>>;
    constexpr std::size_t count = std::tuple_size_v<decltype(fields(value))>;
    std::size_t position = 0;
    const auto unpackNext = [&](auto &each) {
        const std::size_t at = position++;
        if (at < count - added || at < json.size())
            unpackField(json.at(at), each);
    };
    std::apply([&](auto &...each) { (unpackNext(each), ...); }, fields(value));
}

/// Reads the alternative with the index `wanted`. `index` is the one that is compared now.
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

std::string_view nameOf(CallKind kind)
{
    return nameIn(kindNames, kind);
}

std::string_view nameOf(CallResult result)
{
    return nameIn(resultNames, result);
}

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
