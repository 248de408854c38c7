#include <UnitTests/Fleet/FleetFixture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// What callers learn of jobs whose starts have no answer, in a fleet of real nodes.
class WaitingJobsTest : public FleetFixture
{
    CPPUNIT_TEST_SUITE(WaitingJobsTest);
    CPPUNIT_TEST(jobWaitsWhileItsStartsAreUnanswered);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a queue that is said to be empty while no job in it has begun: workers leave
    /// the starts unanswered.
    void jobWaitsWhileItsStartsAreUnanswered()
    {
        constexpr int all = 1000;
        for (const auto &worker : m_workers) {
            worker->dropStarts(all);
            worker->setTaskTime(std::chrono::hours(1));
        }
        constexpr int jobs = 8;
        for (int i = 0; i < jobs; ++i)
            submit(fmt::format("j{}", i), planOf(1));
        const Instant end = BootClock::now() + std::chrono::seconds(1);
        while (BootClock::now() < end) {
            CPPUNIT_ASSERT_EQUAL(std::int64_t{jobs}, pending());
            CPPUNIT_ASSERT_EQUAL(std::string("queued"), state());
        }
        for (const auto &worker : m_workers)
            worker->dropStarts(0);
        until([this] { return pending() == 0; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{jobs}, running());
        CPPUNIT_ASSERT_EQUAL(std::string("running"), state());
    }

private:
    /// The answer to a query of that path. A refused one is repeated: a leader without contact with
    /// its followers, as on a busy machine, refuses all calls.
    FleetAnswer ask(const std::string &path)
    {
        FleetCall call;
        call.kind = CallKind::Query;
        call.host = "desk.example";
        call.path = path;
        FleetAnswer answer;
        until([&] {
            answer = send(call);
            return answer.result != CallResult::Unavailable;
        });
        return answer;
    }

    /// State of the first job.
    std::string state() { return ask("/counter/j0").text; }

    std::int64_t pending()
    {
        const FleetAnswer answer = ask("/counter/");
        CPPUNIT_ASSERT(CallResult::Pending == answer.result);
        return answer.number;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingJobsTest);
