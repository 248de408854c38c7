#include <UnitTests/Fleet/FleetFixture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// Cancels that reach the leader before the submission of their job, in a fleet of real nodes.
class EarlyCancelTest : public FleetFixture
{
    CPPUNIT_TEST_SUITE(EarlyCancelTest);
    CPPUNIT_TEST(cancelHoldsForASubmissionThatArrivesLater);
    CPPUNIT_TEST(cancelHoldsForASubmissionThatIsNotCommitted);
    CPPUNIT_TEST(cancelHoldsAfterAChangeOfLeader);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a job that runs although its cancel was answered: a frozen entry passed the
    /// submission on after it.
    void cancelHoldsForASubmissionThatArrivesLater()
    {
        CPPUNIT_ASSERT(CallResult::NoJob == send(cancelOf("j")).result);
        // Nobody has submitted the job so far.
        CPPUNIT_ASSERT(CallResult::NoJob == send(queryOf("j")).result);
        submit("j", planOf(2));
        assertCancelled();
    }

    /// Guards against the same if the leader has proposed the submission and not committed it.
    void cancelHoldsForASubmissionThatIsNotCommitted()
    {
        FleetCall submission = queryOf("j");
        submission.kind = CallKind::Submit;
        submission.plan = planOf(2);
        std::optional<CallResult> submitted;
        m_gateway->node->call(submission, std::chrono::seconds(2),
                              [&](const FleetAnswer &answer) { submitted = answer.result; });
        const CallResult cancelled = send(cancelOf("j")).result;
        CPPUNIT_ASSERT(CallResult::Done == cancelled);
        until([&] { return submitted.has_value(); });
        CPPUNIT_ASSERT(CallResult::Done == *submitted);
        CPPUNIT_ASSERT_EQUAL(std::string("cancelled"), stateOf("j"));
    }

    /// Guards against a cancel that only the leader that answered it knows.
    void cancelHoldsAfterAChangeOfLeader()
    {
        CPPUNIT_ASSERT(CallResult::NoJob == send(cancelOf("j")).result);
        for (auto &core : m_cores)
            core.reset();
        for (int i = 0; i < cores; ++i)
            startCore(i, false);
        until([this] { return m_gateway->node->isReady(); });
        submit("j", planOf(2));
        assertCancelled();
    }

private:
    static FleetCall queryOf(const std::string &job)
    {
        FleetCall call;
        call.kind = CallKind::Query;
        call.host = "desk.example";
        call.path = "/counter/" + job;
        return call;
    }

    static FleetCall cancelOf(const std::string &job)
    {
        FleetCall call = queryOf(job);
        call.kind = CallKind::Cancel;
        return call;
    }

    void assertCancelled()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("cancelled"), stateOf("j"));
        // A job that was submitted later runs, and the cancelled one does not.
        submit("k", planOf(1));
        until([this] { return stateOf("k") == "completed"; });
        CPPUNIT_ASSERT_EQUAL(1, totalStarts());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlyCancelTest);
