#include <UnitTests/Fleet/FleetFixture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// Jobs that are handed in while a configuration that removes their queue is being committed, at a
/// leader whose followers run in the same thread.
class RemovedQueueTest : public FleetFixture
{
    CPPUNIT_TEST_SUITE(RemovedQueueTest);
    CPPUNIT_TEST(refusesJobWhoseQueueIsRemovedFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a job that is acknowledged and never runs.
    void refusesJobWhoseQueueIsRemovedFirst()
    {
        CoreNode &leader = findLeader();
        std::vector<CallResult> answers;
        const auto record = [&](const FleetAnswer &answer) { answers.push_back(answer.result); };
        FleetCall replacement;
        replacement.kind = CallKind::ReplaceConfiguration;
        replacement.document = std::to_string(noQueueVersion);
        FleetCall submission;
        submission.kind = CallKind::Submit;
        submission.host = "desk.example";
        submission.path = "/counter/j";
        submission.plan = planOf(1);
        leader.call(replacement, std::chrono::seconds(2), record);
        leader.call(submission, std::chrono::seconds(2), record);
        until([&] { return answers.size() == 2; });
        CPPUNIT_ASSERT(CallResult::Done == answers[0]);
        CPPUNIT_ASSERT(CallResult::NoQueue == answers[1]);
    }

private:
    CoreNode &findLeader()
    {
        CoreNode *leader = nullptr;
        until([&] {
            for (auto &core : m_cores) {
                if (core->node->leads())
                    leader = core->node.get();
            }
            return leader != nullptr;
        });
        return *leader;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RemovedQueueTest);
