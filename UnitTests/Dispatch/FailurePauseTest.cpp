#include "DispatcherFixture.h"

using namespace guavashift;

/// Tests of the pause that a worker makes after failures of different jobs on it.
class FailurePauseTest : public DispatcherFixture
{
    CPPUNIT_TEST_SUITE(FailurePauseTest);
    CPPUNIT_TEST(failuresThatArriveTogetherPauseOnce);
    CPPUNIT_TEST(failuresAfterAPausePauseForLonger);
    CPPUNIT_TEST(failuresOfTheNextLifetimePauseIt);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a worker that takes nothing for 16 s, since the failures of one moment were
    /// reported one after the other.
    void failuresThatArriveTogetherPauseOnce()
    {
        addWorkers(1);
        failJobs("first", 8, 100);
        const int pausedUntil = 100 + static_cast<int>(toMs(DispatchSettings{}.failurePause));
        CPPUNIT_ASSERT(startsAt(pausedUntil + 100));
    }

    /// Guards against a worker on which everything fails and that gets as much work as others.
    void failuresAfterAPausePauseForLonger()
    {
        addWorkers(1);
        const auto pause = static_cast<int>(toMs(DispatchSettings{}.failurePause));
        failJobs("first", 8, 100);
        CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n1", at(pause)));
        failJobs("second", 1, pause + 200);
        CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n1", at(2 * pause)));
        CPPUNIT_ASSERT(!startsAt(2 * pause + 300));
    }

    /// Guards against a restarted worker on which everything fails and that is not paused.
    void failuresOfTheNextLifetimePauseIt()
    {
        addWorkers(1);
        failJobs("first", 8, 100);
        m_dispatcher->lifetimeEnded({"w1", 1}, LifetimeEnd::Left, LifetimeProof::AnsweredByNext,
                                    {});
        commit(m_dispatcher->takeCommands(), 150);
        m_dispatcher->workerReported("n1", worker("w1", 2), at(200));
        failJobs("second", 1, 400);
        CPPUNIT_ASSERT(!startsAt(500));
    }

private:
    /// Lets jobs of one task run on the worker and fail in one moment.
    void failJobs(const std::string &name, int count, int milliseconds)
    {
        for (int i = 0; i < count; ++i)
            accept(fmt::format("{}{}", name, i), plan(1, 1000), milliseconds - 50);
        // Tasks that failed before start again with them.
        CPPUNIT_ASSERT(decideAndCommit(milliseconds - 50) >= static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            m_dispatcher->endReported(
                {{fmt::format("{}{}", name, i), 0, 0, 0}, 1, RunEnd::Failed, {}});
        }
        commit(m_dispatcher->takeCommands(), milliseconds);
    }

    /// Whether a new job gets a start at that time.
    bool startsAt(int milliseconds)
    {
        accept("next", plan(1, 1000), milliseconds);
        const std::vector<StageCommand> commands =
            m_dispatcher->decide(at(milliseconds), milliseconds);
        return std::any_of(commands.begin(), commands.end(), [](const StageCommand &command) {
            const auto *start = std::get_if<StartRun>(&command);
            return start != nullptr && start->task.job == "next";
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailurePauseTest);
