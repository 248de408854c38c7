#include <Guavashift/Control/ControlNode.h>

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace guavashift;

namespace {

const ReplicaId self{"vm/1"};
const ReplicaId leader{"leader/1"};
const ReplicaId candidate{"candidate/1"};
constexpr LogIndex digestIndex = 64;

} // namespace

/// A control process of three, whose other two are played by the test.
class ControlStateDivergenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlStateDivergenceTest);
    CPPUNIT_TEST(votesAfterItsStateWasFoundToDiffer);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a control process that neither votes nor stores for good once its state was
    /// found to differ from that of the others.
    void votesAfterItsStateWasFoundToDiffer()
    {
        const std::filesystem::path path = std::filesystem::temp_directory_path()
            / fmt::format("guavashift-differ-{}", ::getpid());
        std::filesystem::remove_all(path);
        RpcServer others({}, {"127.0.0.1", 0});
        std::atomic<bool> isGranted = false;
        others.add(method::replicate, [&](const Json &parameters) -> Result<Json> {
            for (const Json &message : parameters.at("messages")) {
                const Json &body = message.at("body");
                if (body.at("kind") == "vote-reply" && !body.at("preVote").get<bool>())
                    isGranted = isGranted || body.at("granted").get<bool>();
            }
            return Json(true);
        });
        CPPUNIT_ASSERT(others.start());
        m_address = others.address().text();
        {
            Result<DataFolder> folder = DataFolder::openWithIncarnation(path, "test", "vm", "1");
            CPPUNIT_ASSERT(folder);
            storeMembership(path);
            Telemetry telemetry("test");
            ControlNode node({}, std::move(*folder), member(self), {m_address}, telemetry, 1);
            CPPUNIT_ASSERT(node.start());
            sendEntries(node);
            // As long as the leader is heard, and for some time after, no other one gets a vote.
            Term term = 2;
            until([&] {
                send(node, candidate,
                     {{"kind", "vote-request"},
                      {"term", ++term},
                      {"lastIndex", digestIndex},
                      {"lastTerm", 2},
                      {"preVote", false},
                      {"transfer", false}});
                return isGranted.load();
            });
            CPPUNIT_ASSERT(!node.hasFailed());
        }
        others.stop();
        std::filesystem::remove_all(path);
    }

private:
    [[nodiscard]] Member member(const ReplicaId &id) const
    {
        return {id, id.value, m_address, FailureDomain{id.value}, true};
    }

    void storeMembership(const std::filesystem::path &path) const
    {
        PersistentState state;
        Result<std::unique_ptr<FileLogStore>> store = FileLogStore::open(path, state);
        CPPUNIT_ASSERT(store);
        const Membership membership{{member(self), member(leader), member(candidate)}};
        const std::vector<LogEntry> entries{{1, 1, EntryKind::Membership, Json(membership).dump()}};
        CPPUNIT_ASSERT((*store)->saveHardState({1, {}}));
        CPPUNIT_ASSERT((*store)->append(entries));
        CPPUNIT_ASSERT((*store)->sync());
    }

    void send(ControlNode &node, const ReplicaId &from, Json body) const
    {
        const Json message{{"from", from}, {"to", self}, {"body", std::move(body)}};
        CPPUNIT_ASSERT(
            node.receive({{"address", m_address}, {"messages", Json::array({message})}}));
    }

    /// Sends committed entries up to the index of a digest, then a digest that differs.
    void sendEntries(ControlNode &node) const
    {
        std::vector<LogEntry> entries;
        for (LogIndex index = 2; index <= digestIndex; ++index)
            entries.push_back({2, index, EntryKind::NoOp, {}});
        Json request{{"kind", "append-request"},
                     {"term", 2},
                     {"prevIndex", 1},
                     {"prevTerm", 1},
                     {"entries", entries},
                     {"commitIndex", digestIndex},
                     {"round", 1},
                     {"digest", StateDigest{}},
                     {"agreed", StateDigest{}}};
        send(node, leader, request);
        request["prevIndex"] = digestIndex;
        request["prevTerm"] = 2;
        request["entries"] = Json::array();
        request["digest"] = StateDigest{digestIndex, 1};
        request["agreed"] = StateDigest{digestIndex, 1};
        send(node, leader, request);
    }

    /// Waits until the condition holds. Fails after 30 s, far more than any test needs.
    static void until(const std::function<bool()> &condition)
    {
        const Instant deadline = BootClock::now() + std::chrono::seconds(30);
        while (!condition()) {
            CPPUNIT_ASSERT_MESSAGE("the condition never held", BootClock::now() < deadline);
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    }

    std::string m_address;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlStateDivergenceTest);
