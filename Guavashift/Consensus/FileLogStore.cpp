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

/// Entries are written by hand-picked fields because they are by far the most frequent record.
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
    // The file was complete before it got its name, so any fault in it is damage.
    std::string_view rest = *content;
    const std::optional<Record> header = takeRecord(rest);
    const std::optional<Record> data = takeRecord(rest);
    if (!header || !data || !rest.empty())
        return fail(ErrorCode::Io, "the snapshot file is damaged");
    const Json json = Json::from_cbor(header->payload);
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->lastIndex = json.at("lastIndex").get<LogIndex>();
    snapshot->lastTerm = json.at("lastTerm").get<Term>();
    snapshot->membership = json.at("membership").get<Membership>();
    snapshot->data = data->payload;
    return SnapshotPointer(std::move(snapshot));
}

/// What a log holds besides the entries behind the snapshot.
struct ReplayResult
{
    /// The log reaches back before the snapshot: a crash came between storing the two.
    bool coveredEntries = false;
    /// The log disagrees with the snapshot, so that nothing of it counts.
    bool conflict = false;
    /// Length of the part that can be read.
    std::uint64_t validBytes = 0;
};

/// Replays one record into `state`. Returns false if it cannot follow on what came before.
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

/// Reads all records up to a tail that was cut off.
Result<ReplayResult> replayLog(std::string_view content, PersistentState &state)
{
    ReplayResult result;
    std::string_view rest = content;
    while (!rest.empty()) {
        const std::string_view before = rest;
        const std::optional<Record> record = takeRecord(rest);
        if (!record) {
            // Records behind the damaged one were written after it: it is not a torn tail.
            if (containsRecord(before.substr(1)))
                return fail(ErrorCode::Io, "the log is damaged before its end");
            break;
        }
        if (!replay(*record, state, result))
            return fail(ErrorCode::Io, "the log has a gap");
        result.validBytes = content.size() - rest.size();
    }
    return result;
}

} // namespace

FileLogStore::FileLogStore(std::filesystem::path folder)
    : m_folder(std::move(folder))
{
}

Result<std::unique_ptr<FileLogStore>> FileLogStore::open(const std::filesystem::path &folder,
                                                         PersistentState &state)
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

        // Nothing is written behind a torn tail or behind entries that the snapshot covers.
        const bool torn = result->validBytes < bytes.size();
        if (torn || result->coveredEntries) {
            logEvent(LogLevel::Warning, "log-repaired",
                     {{"cut_bytes", bytes.size() - result->validBytes},
                      {"covered_entries", result->coveredEntries}});
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
        return fail(ErrorCode::Io, fmt::format("a stored record cannot be read: {}", error.what()));
    }
}

Result<void> FileLogStore::checked(Result<void> result)
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
    if (Result<void> written = checked(m_log.write(m_buffer)); !written)
        return written;
    m_buffer.clear();
    return checked(m_log.sync());
}

Result<void> FileLogStore::replaceBySnapshot(const Snapshot &snapshot, const HardState &hardState,
                                             std::span<const LogEntry> tail)
{
    if (m_failed)
        return fail(ErrorCode::Io, "the data folder failed earlier");
    // First the snapshot: from here on a crash leaves it with a log that reaches further back.
    std::string content;
    appendRecord(content, RecordKind::SnapshotHeader,
                 encode({{"lastIndex", snapshot.lastIndex},
                         {"lastTerm", snapshot.lastTerm},
                         {"membership", snapshot.membership}}));
    appendRecord(content, RecordKind::SnapshotData, snapshot.data);
    if (Result<void> stored = checked(replaceFile(m_folder / snapshotName, content)); !stored)
        return stored;

    // Then the shorter log. What is still buffered is contained in `hardState` and `tail`.
    m_buffer.clear();
    const std::string log = encodeLog(hardState, tail);
    if (Result<void> stored = checked(replaceFile(m_folder / logName, log)); !stored)
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
