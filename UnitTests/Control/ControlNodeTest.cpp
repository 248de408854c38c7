#include <Guavashift/Control/ControlNode.h>

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

using namespace guavashift;

namespace {

/// While it exists, this process can write to no file.
class FullDisk final
{
public:
    FullDisk()
    {
        // Without this, a refused write ends the process instead of failing.
        m_signalBefore = std::signal(SIGXFSZ, SIG_IGN);
        CPPUNIT_ASSERT_EQUAL(0, ::getrlimit(RLIMIT_FSIZE, &m_before));
        rlimit limited = m_before;
        limited.rlim_cur = 0;
        CPPUNIT_ASSERT_EQUAL(0, ::setrlimit(RLIMIT_FSIZE, &limited));
    }

    ~FullDisk()
    {
        (void)::setrlimit(RLIMIT_FSIZE, &m_before);
        (void)std::signal(SIGXFSZ, m_signalBefore);
    }

    FullDisk(const FullDisk &) = delete;
    FullDisk &operator=(const FullDisk &) = delete;

private:
    rlimit m_before{};
    void (*m_signalBefore)(int) = SIG_DFL;
};

} // namespace

/// A control process of a cluster of one, with real files.
class ControlNodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlNodeTest);
    CPPUNIT_TEST(takesPartAgainAfterItsDiskRefusedAWrite);
    CPPUNIT_TEST(staysStoppedOnceItsLogIsGone);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_folder = std::filesystem::temp_directory_path()
            / fmt::format("guavashift-control-{}", ::getpid());
        std::filesystem::remove_all(m_folder);
        startNode();
        CPPUNIT_ASSERT(m_node->bootstrap());
    }

    void tearDown() override
    {
        m_node.reset();
        std::filesystem::remove_all(m_folder);
    }

    /// Guards against a control process that runs on for ever without its replica after its disk
    /// was full for a while.
    void takesPartAgainAfterItsDiskRefusedAWrite()
    {
        until([this] { return claim("before"); });
        {
            const FullDisk full;
            CPPUNIT_ASSERT(!claim("refused"));
            CPPUNIT_ASSERT(m_node->hasFailed());
            // It stays without a replica as long as its disk refuses to write.
            std::this_thread::sleep_for(std::chrono::seconds(3));
            CPPUNIT_ASSERT(m_node->hasFailed());
            CPPUNIT_ASSERT(!claim("refused"));
        }
        until([this] { return claim("after"); });
        CPPUNIT_ASSERT(!m_node->hasFailed());
        CPPUNIT_ASSERT(m_node->hasLeader());
        assertHolds({"before", "after"});
        // The files hold the same.
        m_node.reset();
        startNode();
        assertHolds({"before", "after"});
    }

    /// Guards against a replica that takes part under its name after its disk has forgotten its
    /// votes and entries.
    void staysStoppedOnceItsLogIsGone()
    {
        until([this] { return claim("before"); });
        {
            const FullDisk full;
            CPPUNIT_ASSERT(!claim("refused"));
            CPPUNIT_ASSERT(m_node->hasFailed());
            CPPUNIT_ASSERT(std::filesystem::remove(m_folder / "log"));
        }
        std::this_thread::sleep_for(std::chrono::seconds(4));
        CPPUNIT_ASSERT(m_node->hasFailed());
    }

private:
    void startNode()
    {
        Result<DataFolder> data = DataFolder::open(m_folder, "test", "vm", 1);
        CPPUNIT_ASSERT(data);
        const Member self{data->replica(), "vm", "127.0.0.1:1", FailureDomain{"d"}, false};
        m_node =
            std::make_unique<ControlNode>(ControlNodeSettings{}, std::move(*data), self,
                                          std::vector<std::string>{"127.0.0.1:1"}, m_telemetry, 1);
        CPPUNIT_ASSERT(m_node->start());
    }

    /// Claims a key and returns whether that was committed.
    bool claim(const std::string &key)
    {
        Claim claim;
        claim.service.value = "orders";
        claim.key = key;
        return m_node->execute({{"commands", {variantToJson(CommandBody(ClaimKey{claim}))}}})
            .has_value();
    }

    /// Fails unless the keys are already claimed.
    void assertHolds(const std::vector<std::string> &keys)
    {
        until([this] { return m_node->query(Query{"status", {}, true}).has_value(); });
        const Result<Json> status = m_node->query(Query{"status", {}, true});
        CPPUNIT_ASSERT(status);
        CPPUNIT_ASSERT(status->at("claims").get<std::size_t>() >= keys.size());
    }

    /// Waits until the condition holds. Fails after 30 s, far more than any test needs.
    static void until(const std::function<bool()> &condition)
    {
        const Instant deadline = BootClock::now() + std::chrono::seconds(30);
        while (!condition()) {
            CPPUNIT_ASSERT_MESSAGE("the condition never held", BootClock::now() < deadline);
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    std::filesystem::path m_folder;
    Telemetry m_telemetry{"test"};
    std::unique_ptr<ControlNode> m_node;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlNodeTest);
