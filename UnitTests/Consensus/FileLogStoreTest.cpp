#include <Guavashift/Consensus/Consensus.h>
#include <Guavashift/Consensus/RecordFormat.h>

#include <csignal>

#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fstream>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace guavashift;

namespace {

std::string readContent(const std::filesystem::path &path)
{
    return *readFile(path);
}

void writeContent(const std::filesystem::path &path, const std::string &content)
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << content;
}

std::vector<LogEntry> entries(LogIndex first, LogIndex last, Term term)
{
    std::vector<LogEntry> list;
    for (LogIndex index = first; index <= last; ++index)
        list.push_back({term, index, EntryKind::Command, "payload" + std::to_string(index)});
    return list;
}

/// Limits the size of files that this process writes, so that a write beyond it fails.
class FileSizeLimit final
{
public:
    explicit FileSizeLimit(rlim_t bytes)
        : m_previousHandler(std::signal(SIGXFSZ, SIG_IGN))
    {
        CPPUNIT_ASSERT_EQUAL(0, ::getrlimit(RLIMIT_FSIZE, &m_previous));
        const rlimit limit{bytes, m_previous.rlim_max};
        CPPUNIT_ASSERT_EQUAL(0, ::setrlimit(RLIMIT_FSIZE, &limit));
    }

    ~FileSizeLimit()
    {
        ::setrlimit(RLIMIT_FSIZE, &m_previous);
        std::signal(SIGXFSZ, m_previousHandler);
    }

    FileSizeLimit(const FileSizeLimit &) = delete;
    FileSizeLimit &operator=(const FileSizeLimit &) = delete;

private:
    rlimit m_previous{};
    void (*m_previousHandler)(int);
};

} // namespace

/// State that a replica reads from its disk after crashes and damage.
class FileLogStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FileLogStoreTest);
    CPPUNIT_TEST(readsSyncedState);
    CPPUNIT_TEST(repairsATailTornAtAnyByte);
    CPPUNIT_TEST(refusesDamageBeforeTheEnd);
    CPPUNIT_TEST(truncatesAndAppends);
    CPPUNIT_TEST(replacesByASnapshot);
    CPPUNIT_TEST(survivesACrashBetweenSnapshotAndLog);
    CPPUNIT_TEST(dropsALogThatDisagreesWithTheSnapshot);
    CPPUNIT_TEST(refusesADamagedSnapshot);
    CPPUNIT_TEST(opensAgainAfterAWriteThatFailed);
    CPPUNIT_TEST(writesUnsyncedFilesAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "logXXXXXX").string();
        m_folder = ::mkdtemp(pattern.data());
    }

    void tearDown() override { std::filesystem::remove_all(m_folder); }

    void readsSyncedState()
    {
        write(entries(1, 5, 1));
        const PersistentState state = read();
        CPPUNIT_ASSERT(state.entries == entries(1, 5, 1));
        CPPUNIT_ASSERT(state.hardState == (HardState{3, ReplicaId{"a/1"}}));
    }

    void repairsATailTornAtAnyByte()
    {
        write(entries(1, 2, 1));
        const std::size_t validSize = readContent(m_folder / "log").size();
        write(entries(3, 3, 1));
        const std::string whole = readContent(m_folder / "log");
        for (std::size_t size = validSize; size < whole.size(); ++size) {
            writeContent(m_folder / "log", whole.substr(0, size));
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), read().entries.size());
            // Entries written after the repair are read back.
            write(entries(3, 4, 2));
            CPPUNIT_ASSERT_EQUAL(std::size_t(4), read().entries.size());
        }
    }

    void refusesDamageBeforeTheEnd()
    {
        write(entries(1, 5, 1));
        std::string content = readContent(m_folder / "log");
        content[content.size() / 2] = static_cast<char>(content[content.size() / 2] ^ 1);
        writeContent(m_folder / "log", content);
        PersistentState state;
        const auto store = FileLogStore::open(m_folder, state);
        CPPUNIT_ASSERT(!store);
        CPPUNIT_ASSERT(store.error().code == ErrorCode::Io);
    }

    void truncatesAndAppends()
    {
        write(entries(1, 5, 1));
        {
            PersistentState state;
            const auto store = FileLogStore::open(m_folder, state);
            CPPUNIT_ASSERT((*store)->truncateFrom(4).has_value());
            CPPUNIT_ASSERT((*store)->append(entries(4, 4, 2)).has_value());
            CPPUNIT_ASSERT((*store)->sync().has_value());
        }
        const PersistentState state = read();
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), state.entries.size());
        CPPUNIT_ASSERT_EQUAL(Term(2), state.entries.back().term);
    }

    void replacesByASnapshot()
    {
        write(entries(1, 5, 1));
        replaceBySnapshot(3, 1, entries(4, 5, 1));
        const PersistentState state = read();
        CPPUNIT_ASSERT_EQUAL(LogIndex(3), state.snapshot->lastIndex);
        CPPUNIT_ASSERT(state.entries == entries(4, 5, 1));
    }

    void survivesACrashBetweenSnapshotAndLog()
    {
        write(entries(1, 5, 1));
        const std::string oldLog = readContent(m_folder / "log");
        replaceBySnapshot(3, 1, entries(4, 5, 1));
        writeContent(m_folder / "log", oldLog);
        CPPUNIT_ASSERT(read().entries == entries(4, 5, 1));
        write(entries(6, 6, 1));
        CPPUNIT_ASSERT(read().entries == entries(4, 6, 1));
    }

    void dropsALogThatDisagreesWithTheSnapshot()
    {
        write(entries(1, 5, 1));
        const std::string oldLog = readContent(m_folder / "log");
        replaceBySnapshot(3, 2, {});
        writeContent(m_folder / "log", oldLog);
        CPPUNIT_ASSERT(read().entries.empty());
        write(entries(4, 4, 2));
        CPPUNIT_ASSERT(read().entries == entries(4, 4, 2));
    }

    void refusesADamagedSnapshot()
    {
        write(entries(1, 5, 1));
        replaceBySnapshot(3, 1, entries(4, 5, 1));
        std::string content = readContent(m_folder / "snapshot");
        content.back() = static_cast<char>(content.back() ^ 1);
        writeContent(m_folder / "snapshot", content);
        PersistentState state;
        CPPUNIT_ASSERT(!FileLogStore::open(m_folder, state));
    }

    /// Guards against a store that cannot be opened again after the disk took only a part of a
    /// write.
    void opensAgainAfterAWriteThatFailed()
    {
        write(entries(1, 2, 1));
        PersistentState state;
        auto store = FileLogStore::open(m_folder, state);
        CPPUNIT_ASSERT(store.has_value());
        CPPUNIT_ASSERT((*store)->append(entries(3, 9, 1)).has_value());
        {
            constexpr rlim_t partOfARecord = 10;
            const FileSizeLimit limit(readContent(m_folder / "log").size() + partOfARecord);
            CPPUNIT_ASSERT(!(*store)->sync());
        }
        // The store itself takes no more writes.
        CPPUNIT_ASSERT(!(*store)->sync());

        PersistentState reopened;
        store = FileLogStore::open(m_folder, reopened, StoredFiles::Unsynced);
        CPPUNIT_ASSERT(store.has_value());
        CPPUNIT_ASSERT(reopened.entries == entries(1, 2, 1));
        CPPUNIT_ASSERT((*store)->append(entries(3, 4, 2)).has_value());
        CPPUNIT_ASSERT((*store)->sync().has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), read().entries.size());
    }

    /// Guards against entries that count as stored although only the kernel's cache holds them.
    void writesUnsyncedFilesAgain()
    {
        write(entries(1, 5, 1));
        const auto fileNumber = [this] {
            struct ::stat status = {};
            CPPUNIT_ASSERT_EQUAL(0, ::stat((m_folder / "log").c_str(), &status));
            return status.st_ino;
        };
        const auto before = fileNumber();
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), read().entries.size());
        CPPUNIT_ASSERT_EQUAL(before, fileNumber());
        PersistentState state;
        CPPUNIT_ASSERT(FileLogStore::open(m_folder, state, StoredFiles::Unsynced).has_value());
        CPPUNIT_ASSERT(before != fileNumber());
        const PersistentState again = read();
        CPPUNIT_ASSERT(again.entries == entries(1, 5, 1));
        CPPUNIT_ASSERT(again.hardState == (HardState{3, ReplicaId{"a/1"}}));
    }

private:
    void write(const std::vector<LogEntry> &list)
    {
        PersistentState state;
        const auto store = FileLogStore::open(m_folder, state);
        CPPUNIT_ASSERT(store.has_value());
        CPPUNIT_ASSERT((*store)->saveHardState({3, ReplicaId{"a/1"}}).has_value());
        CPPUNIT_ASSERT((*store)->append(list).has_value());
        CPPUNIT_ASSERT((*store)->sync().has_value());
    }

    PersistentState read()
    {
        PersistentState state;
        const auto store = FileLogStore::open(m_folder, state);
        CPPUNIT_ASSERT(store.has_value());
        return state;
    }

    void replaceBySnapshot(LogIndex index, Term term, const std::vector<LogEntry> &tail)
    {
        PersistentState state;
        const auto store = FileLogStore::open(m_folder, state);
        Snapshot snapshot;
        snapshot.lastIndex = index;
        snapshot.lastTerm = term;
        snapshot.data = "image";
        CPPUNIT_ASSERT((*store)->replaceBySnapshot(snapshot, state.hardState, tail).has_value());
    }

    std::filesystem::path m_folder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FileLogStoreTest);
