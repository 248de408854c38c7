#include <Guavashift/Control/ControlNode.h>
#include <Guavashift/Control/JoinLoop.h>

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace guavashift;

/// Requests to join that reach a control process which does not lead.
class JoinLoopTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JoinLoopTest);
    CPPUNIT_TEST(asksTheLeaderThatAFollowerNames);
    CPPUNIT_TEST(followerNamesTheLeader);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a control process that never joins because the leader is none of its
    /// addresses.
    void asksTheLeaderThatAFollowerNames()
    {
        std::atomic<int> heard = 0;
        RpcServer leader({}, {"127.0.0.1", 0});
        leader.add(method::join, [&](const Json &parameters) -> Result<Json> {
            heard += parameters.at("member").get<Member>().vm == "new" ? 1 : 0;
            return Json(true);
        });
        CPPUNIT_ASSERT(leader.start());
        RpcServer follower({}, {"127.0.0.1", 0});
        follower.add(method::join, [&](const Json &) -> Result<Json> {
            return fail(ErrorCode::NotLeader, notLeaderMessage(leader.address().text()));
        });
        CPPUNIT_ASSERT(follower.start());
        const Member self{ReplicaId{"new/1"}, "new", "127.0.0.1:1", FailureDomain{"d"}, false};
        {
            JoinLoop loop({}, self, {follower.address().text()});
            loop.setEnabled(true);
            until([&] { return heard > 1; });
        }
        follower.stop();
        leader.stop();
    }

    /// Guards against requests to join that are acknowledged and dropped.
    void followerNamesTheLeader()
    {
        const std::filesystem::path path =
            std::filesystem::temp_directory_path() / fmt::format("guavashift-join-{}", ::getpid());
        std::filesystem::remove_all(path);
        {
            Result<DataFolder> folder = DataFolder::open(path, "test", "vm", 1);
            CPPUNIT_ASSERT(folder);
            const Member self{folder->replica(), "vm", "127.0.0.1:1", FailureDomain{"d"}, false};
            Telemetry telemetry("test");
            ControlNode node({}, std::move(*folder), self, {"127.0.0.1:1"}, telemetry, 1);
            CPPUNIT_ASSERT(node.start());
            const Member other{ReplicaId{"new/1"}, "new", "127.0.0.1:2", FailureDomain{"d"}, false};
            const Result<Json> refused = node.join({{"member", other}});
            CPPUNIT_ASSERT(!refused);
            CPPUNIT_ASSERT(ErrorCode::NotLeader == refused.error().code);
            CPPUNIT_ASSERT(node.bootstrap());
            until([&] { return node.join({{"member", other}}).has_value(); });
        }
        std::filesystem::remove_all(path);
    }

private:
    /// Waits until the condition holds. Fails after 30 s, far more than any test needs.
    static void until(const std::function<bool()> &condition)
    {
        const Instant deadline = BootClock::now() + std::chrono::seconds(30);
        while (!condition()) {
            CPPUNIT_ASSERT_MESSAGE("the condition never held", BootClock::now() < deadline);
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JoinLoopTest);
