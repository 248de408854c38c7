#include <Guavashift/Consensus/FileLogStore.h>
#include <Guavashift/Consensus/RecordFormat.h>

#include <utility>

namespace guavashift {

namespace {

constexpr std::string_view logName = "log";
constexpr std::string_view snapshotName = "snapshot";

std::string encode(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

/// Encodes the fields without their names, because entries are by far the most frequent records.
std::string encodeEntry(const LogEntry &entry)
{
    return encode(
        Json::array({entry.term, entry.index, static_cast<int>(entry.kind), entry.payload}));
}

LogEntry decodeEntry(const Json &json)
{
    return {json.at(0).get<Term>(), json.at(1).get<LogIndex>(),
            static_cast<EntryKind>(json.at(2).get<int>()), json.at(3).get<std::string>()};
}

void appendEntries(std::string &buffer, std::span<const LogEntry> entries)
{
    for (const LogEntry &entry : entries)
        appendRecord(buffer, RecordKind::Entry, encodeEntry(entry));
}

std::string encodeLog(const HardState &hardState, std::span<const LogEntry> entries)
{
    std::string log;
    appendRecord(log, RecordKind::HardState, encode(hardState));
    appendEntries(log, entries);
    return log;
}

Result<SnapshotPointer> readSnapshot(const std::filesystem::path &path)
{
    const Result<std::string> content = readFile(path);
    if (!content && content.error().code == ErrorCode::NotFound)
        return SnapshotPointer();
    if (!content)
        return tl::unexpected(content.error());
    // The file was complete when it was renamed to its name, so any error in it is damage.
    std::string_view remaining = *content;
    const std::optional<Record> header = takeRecord(remaining);
    const std::optional<Record> data = takeRecord(remaining);
    if (!header || !data || !remaining.empty())
        return fail(ErrorCode::Io, path.string() + ": the snapshot is damaged");
    const Json json = Json::from_cbor(header->payload);
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->lastIndex = json.at("lastIndex").get<LogIndex>();
    snapshot->lastTerm = json.at("lastTerm").get<Term>();
    snapshot->membership = json.at("membership").get<Membership>();
    snapshot->data = data->payload;
    return SnapshotPointer(std::move(snapshot));
}

/// Result of replaying a log, besides the state itself.
struct ReplayResult
{
    /// The log holds entries that the snapshot covers: a crash came between storing the two.
    bool coveredEntries = false;
    /// The log disagrees with the snapshot's last entry, so its entries are ignored.
    bool conflict = false;
    /// Length of the readable part of the log.
    std::uint64_t validBytes = 0;
};

/// Replays one record into `state`. Returns false if the record does not continue the log.
bool replay(const Record &record, PersistentState &state, ReplayResult &result)
{
    const LogIndex base = state.snapshot ? state.snapshot->lastIndex : 0;
    const Json json = Json::from_cbor(record.payload);
    if (record.kind == RecordKind::HardState) {
        state.hardState = json.get<HardState>();
        return true;
    }
    if (record.kind == RecordKind::Truncate) {
        const LogIndex from = json.get<LogIndex>();
        while (!state.entries.empty() && state.entries.back().index >= from)
            state.entries.pop_back();
        return true;
    }
    if (record.kind != RecordKind::Entry)
        return false;
    LogEntry entry = decodeEntry(json);
    if (entry.index <= base) {
        result.coveredEntries = true;
        result.conflict = entry.index == base && entry.term != state.snapshot->lastTerm;
        return true;
    }
    if (result.conflict)
        return true;
    const LogIndex expected = state.entries.empty() ? base + 1 : state.entries.back().index + 1;
    if (entry.index != expected)
        return false;
    state.entries.push_back(std::move(entry));
    return true;
}

/// Replays all records up to a torn tail.
Result<ReplayResult> replayLog(std::string_view content, PersistentState &state)
{
    ReplayResult result;
    std::string_view remaining = content;
    while (!remaining.empty()) {
        const std::string_view before = remaining;
        const std::optional<Record> record = takeRecord(remaining);
        if (!record) {
            // Intact records after the damaged one were written later: it is not a torn tail.
            if (containsRecord(before.substr(1)))
                return fail(ErrorCode::Io,
                            fmt::format("the log is damaged at byte {}, before its end",
                                        content.size() - before.size()));
            break;
        }
        if (!replay(*record, state, result))
            return fail(ErrorCode::Io,
                        fmt::format("the log record at byte {} does not continue the log",
                                    content.size() - before.size()));
        result.validBytes = content.size() - remaining.size();
    }
    return result;
}

} // namespace

FileLogStore::FileLogStore(std::filesystem::path folder)
    : m_folder(std::move(folder))
{
}

Result<std::unique_ptr<FileLogStore>> FileLogStore::open(const std::filesystem::path &folder,
                                                         PersistentState &state, StoredFiles files)
{
    try {
        const Result<SnapshotPointer> snapshot = readSnapshot(folder / snapshotName);
        if (!snapshot)
            return tl::unexpected(snapshot.error());
        state.snapshot = *snapshot;
        const Result<std::string> content = readFile(folder / logName);
        if (!content && content.error().code != ErrorCode::NotFound)
            return tl::unexpected(content.error());
        const std::string_view bytes = content ? std::string_view(*content) : std::string_view();
        const Result<ReplayResult> result = replayLog(bytes, state);
        if (!result)
            return tl::unexpected(result.error());

        // Rewrites the log, so that nothing is appended after a torn tail or after entries that the
        // snapshot covers.
        const bool torn = result->validBytes < bytes.size();
        const bool unsynced = files == StoredFiles::Unsynced;
        if (torn || result->coveredEntries || unsynced) {
            logEvent(LogLevel::Warning, "log-repaired",
                     {{"cut_bytes", bytes.size() - result->validBytes},
                      {"covered_entries", result->coveredEntries},
                      {"unsynced", unsynced}});
            // Also syncs the folder, and with it the name of the snapshot, which was synced before
            // it got that name.
            const std::string repaired = encodeLog(state.hardState, state.entries);
            if (Result<void> stored = replaceFile(folder / logName, repaired); !stored)
                return tl::unexpected(stored.error());
        }
        std::unique_ptr<FileLogStore> store(new FileLogStore(folder));
        Result<File> log = File::openForAppend(folder / logName);
        if (!log)
            return tl::unexpected(log.error());
        store->m_log = std::move(*log);
        return store;
    } catch (const Json::exception &error) {
        return fail(ErrorCode::Io,
                    fmt::format("{}: a stored record cannot be decoded: {}", folder.string(),
                                error.what()));
    }
}

Result<void> FileLogStore::recordIfFailed(Result<void> result)
{
    if (!result)
        m_failed = true;
    return result;
}

Result<void> FileLogStore::saveHardState(const HardState &hardState)
{
    appendRecord(m_buffer, RecordKind::HardState, encode(hardState));
    return {};
}

Result<void> FileLogStore::truncateFrom(LogIndex index)
{
    appendRecord(m_buffer, RecordKind::Truncate, encode(index));
    return {};
}

Result<void> FileLogStore::append(std::span<const LogEntry> entries)
{
    appendEntries(m_buffer, entries);
    return {};
}

Result<void> FileLogStore::sync()
{
    if (m_failed)
        return fail(ErrorCode::Io, "the data folder failed earlier");
    if (m_buffer.empty())
        return {};
    if (Result<void> written = recordIfFailed(m_log.write(m_buffer)); !written)
        return written;
    m_buffer.clear();
    return recordIfFailed(m_log.sync());
}

Result<void> FileLogStore::replaceBySnapshot(const Snapshot &snapshot, const HardState &hardState,
                                             std::span<const LogEntry> tail)
{
    if (m_failed)
        return fail(ErrorCode::Io, "the data folder failed earlier");
    // The snapshot comes first: a crash after it leaves a log with entries that the snapshot
    // covers.
    std::string content;
    appendRecord(content, RecordKind::SnapshotHeader,
                 encode({{"lastIndex", snapshot.lastIndex},
                         {"lastTerm", snapshot.lastTerm},
                         {"membership", snapshot.membership}}));
    appendRecord(content, RecordKind::SnapshotData, snapshot.data);
    if (Result<void> stored = recordIfFailed(replaceFile(m_folder / snapshotName, content));
        !stored)
        return stored;

    // The shorter log comes second. `hardState` and `tail` contain all that is still buffered.
    m_buffer.clear();
    const std::string log = encodeLog(hardState, tail);
    if (Result<void> stored = recordIfFailed(replaceFile(m_folder / logName, log)); !stored)
        return stored;
    Result<File> reopened = File::openForAppend(m_folder / logName);
    if (!reopened) {
        m_failed = true;
        return tl::unexpected(reopened.error());
    }
    m_log = std::move(*reopened);
    return {};
}

} // namespace guavashift
