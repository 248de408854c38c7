#include <Guavashift/State/SnapshotCodec.h>

#include <cstring>

namespace guavashift {

namespace {

constexpr int formatVersion = 1;

/// Kinds of records, each written as [kind, value].
enum class SnapshotRecord { Header, Configuration, Worker, Task, Job, Claim, End };

void writeRecord(std::string &bytes, SnapshotRecord kind, const Json &value)
{
    std::string record;
    Json::to_cbor(Json::array({static_cast<int>(kind), value}), record);
    const auto length = static_cast<std::uint32_t>(record.size());
    bytes.append(reinterpret_cast<const char *>(&length), sizeof(length));
    bytes += record;
}

Json readRecord(std::string_view &bytes)
{
    std::uint32_t length = 0;
    if (bytes.size() < sizeof(length))
        throw Json::other_error::create(501, "the snapshot is cut off", nullptr);
    std::memcpy(&length, bytes.data(), sizeof(length));
    bytes.remove_prefix(sizeof(length));
    if (bytes.size() < length)
        throw Json::other_error::create(501, "the snapshot is cut off", nullptr);
    Json record = Json::from_cbor(bytes.substr(0, length));
    bytes.remove_prefix(length);
    return record;
}

} // namespace

std::string SnapshotCodec::encode(const StateMachine &state)
{
    std::string bytes;
    writeRecord(bytes, SnapshotRecord::Header,
                {{"format", formatVersion},
                 {"time", state.m_time},
                 {"routingVersion", state.m_routingVersion}});
    writeRecord(bytes, SnapshotRecord::Configuration, state.m_configuration.save());
    for (const auto &[id, worker] : state.m_workers)
        writeRecord(bytes, SnapshotRecord::Worker, worker);
    for (const auto &[id, task] : state.m_tasks)
        writeRecord(bytes, SnapshotRecord::Task, task);
    for (const auto &[key, job] : state.m_jobs)
        writeRecord(bytes, SnapshotRecord::Job, job);
    for (const auto &[key, claim] : state.m_claims)
        writeRecord(bytes, SnapshotRecord::Claim, claim);
    writeRecord(bytes, SnapshotRecord::End, nullptr);
    return bytes;
}

Result<void> SnapshotCodec::decode(std::string_view bytes, StateMachine &state)
{
    StateMachine loaded(state.m_rules);
    try {
        const Json header = readRecord(bytes);
        if (header.at(1).at("format").get<int>() != formatVersion)
            return fail(ErrorCode::InvalidArgument, "the snapshot has an unknown format version");
        loaded.m_time = header.at(1).at("time").get<WallMs>();
        loaded.m_routingVersion = header.at(1).at("routingVersion").get<std::uint64_t>();
        for (;;) {
            const Json record = readRecord(bytes);
            const auto kind = static_cast<SnapshotRecord>(record.at(0).get<int>());
            const Json &value = record.at(1);
            if (kind == SnapshotRecord::End)
                break;
            if (kind == SnapshotRecord::Configuration) {
                loaded.m_configuration.load(value);
            } else if (kind == SnapshotRecord::Worker) {
                auto worker = value.get<Worker>();
                loaded.m_workers.emplace(worker.id, std::move(worker));
            } else if (kind == SnapshotRecord::Task) {
                auto task = value.get<Task>();
                if (task.phase == TaskPhase::Queued)
                    loaded.enqueue(task);
                if (task.isPlaced())
                    loaded.m_teamUsage[task.team] += task.size;
                loaded.m_tasks.emplace(task.id, std::move(task));
            } else if (kind == SnapshotRecord::Job) {
                auto job = value.get<Job>();
                if (job.status != JobStatus::Active)
                    loaded.m_endedJobs.emplace(job.endedAt, job.spec.key());
                loaded.m_jobs.emplace(job.spec.key(), std::move(job));
            } else if (kind == SnapshotRecord::Claim) {
                auto claim = value.get<Claim>();
                const std::string key = StateMachine::claimKey(claim);
                loaded.addClaim(key, std::move(claim));
            }
        }
    } catch (const Json::exception &error) {
        return fail(ErrorCode::InvalidArgument, error.what());
    }
    state = std::move(loaded);
    return {};
}

std::uint64_t SnapshotCodec::hash(const StateMachine &state)
{
    return hashBytes(encode(state));
}

} // namespace guavashift
