#include "DispatchFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// Jobs that repeat, and others whose submission names large numbers.
class RepeatedJobTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RepeatedJobTest);
    CPPUNIT_TEST(acceptsManyOccurrencesWithoutDelay);
    CPPUNIT_TEST(nextLeaderStartsWithManyOccurrencesWithoutDelay);
    CPPUNIT_TEST(acceptsManyStepsWithoutDelay);
    CPPUNIT_TEST(acceptsALargeGangWithoutDelay);
    CPPUNIT_TEST(handlesEndsOfAWideStepWithoutDelay);
    CPPUNIT_TEST(beginsOccurrencesWhenTheyAreDue);
    CPPUNIT_TEST(nextLeaderBeginsTheRemainingOccurrences);
    CPPUNIT_TEST(runsAllOccurrencesThatAreDueAtOnce);
    CPPUNIT_TEST(keepsFewOccurrencesOpenAtATime);
    CPPUNIT_TEST(cancelledJobBeginsNoFurtherOccurrence);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_jobTable = std::make_unique<JobTable>(JobTableSettings{}, readAny);
        m_jobTable->apply(0, ReplaceConfiguration{"x"});
        startLeader();
    }

    /// Guards against a leader that loses its office because one job has many occurrences: it
    /// entered all of them at once and sent no heartbeat meanwhile.
    void acceptsManyOccurrencesWithoutDelay()
    {
        assertPrompt([this] { accept("j", repeated(manyOccurrences, 60'000, 60'000)); });
        assertPrompt([this] { decideAndCommit(1); });
    }

    /// Guards against the same on each leader that follows, since the job stays in the log.
    void nextLeaderStartsWithManyOccurrencesWithoutDelay()
    {
        m_jobTable->apply(0, AcceptJob{"j", "batch", repeated(manyOccurrences, 60'000, 60'000)});
        assertPrompt([this] { startLeader(); });
        // All are due: the clock of the caller was far behind.
        m_jobTable->apply(0, AcceptJob{"late", "batch", repeated(manyOccurrences, 0, 0)});
        assertPrompt([this] { startLeader(); });
        assertPrompt([this] { decideAndCommit(1); });
    }

    /// Guards against the same for a job of many steps: the chain of steps was followed anew for
    /// each task.
    void acceptsManyStepsWithoutDelay()
    {
        JobPlan wide = plan(1, 1000);
        wide.steps.resize(manySteps, wide.steps.front());
        assertPrompt([&] { accept("j", wide); });
    }

    /// Guards against the same for a gang of many tasks: its crashes were counted anew for each.
    void acceptsALargeGangWithoutDelay()
    {
        JobPlan gang = plan(manySteps, 1000);
        gang.steps[0].gang = true;
        assertPrompt([&] { accept("j", gang); });
    }

    /// Guards against ends that take a leader all its time: each one went through all tasks of its
    /// step.
    void handlesEndsOfAWideStepWithoutDelay()
    {
        constexpr std::uint32_t ends = 500; // In one list of a worker.
        addWorker();
        accept("j", plan(manySteps, 1));
        decideAndCommit(1);
        assertPrompt([this] {
            for (std::uint32_t t = 0; t < ends; ++t) {
                const TaskRef ref{"j", 0, 0, t};
                m_dispatcher->endReported({ref, m_jobTable->find(ref)->run, RunEnd::Done, {}});
            }
            commit(m_dispatcher->takeCommands(), 2);
        });
        CPPUNIT_ASSERT_EQUAL(ends, m_jobTable->find("j")->occurrences.at(0).steps[0].done);
    }

    void beginsOccurrencesWhenTheyAreDue()
    {
        addWorker();
        accept("j", repeated(3, 100, 100));
        decideAndCommit(99);
        CPPUNIT_ASSERT_EQUAL(0U, begun());
        decideAndCommit(100);
        CPPUNIT_ASSERT_EQUAL(1U, begun());
        // The first one is still at work.
        decideAndCommit(299);
        CPPUNIT_ASSERT_EQUAL(2U, begun());
        end(0, 299);
        end(1, 299);
        decideAndCommit(300);
        end(2, 301);
        CPPUNIT_ASSERT(StageJobStatus::Completed == m_jobTable->find("j")->status);
    }

    /// Guards against occurrences that a new leader begins twice, or never.
    void nextLeaderBeginsTheRemainingOccurrences()
    {
        addWorker();
        accept("j", repeated(5, 100, 0));
        decideAndCommit(100);
        CPPUNIT_ASSERT_EQUAL(5U, begun());
        end(0, 101);
        end(1, 101);
        end(3, 101);
        startLeader();
        m_dispatcher->workerReported("n1", worker("w1"), at(102));
        m_dispatcher->inventoryReported({"w1", 1}, {}, at(102));
        for (int now = 110; now < 150; now += 10)
            decideAndCommit(now);
        CPPUNIT_ASSERT_EQUAL(2U, m_jobTable->find({"j", 2, 0, 0})->run);
        end(2, 160);
        end(4, 160);
        CPPUNIT_ASSERT(StageJobStatus::Completed == m_jobTable->find("j")->status);
    }

    void runsAllOccurrencesThatAreDueAtOnce()
    {
        constexpr std::uint32_t count = 300;
        addWorker();
        accept("j", repeated(count, 0, 0));
        int now = 1;
        for (std::uint32_t ended = 0; ended < count; ++now) {
            decideAndCommit(now);
            CPPUNIT_ASSERT_MESSAGE("the job made no progress", now < 10'000);
            for (std::uint32_t k = 0; k < count; ++k) {
                const StageTask *task = m_jobTable->find({"j", k, 0, 0});
                if (task == nullptr || task->stage != TaskStage::Bound)
                    continue;
                end(k, now);
                ++ended;
            }
        }
        CPPUNIT_ASSERT(StageJobStatus::Completed == m_jobTable->find("j")->status);
    }

    /// Guards against a queue that holds all occurrences of a job that is far behind.
    void keepsFewOccurrencesOpenAtATime()
    {
        DispatchSettings settings;
        settings.maxOpenTasks = 4;
        m_dispatcher = std::make_unique<Dispatcher>(settings, *m_jobTable);
        m_dispatcher->start(at(0));
        addWorker();
        JobPlan pairs = repeated(manyOccurrences, 0, 0);
        pairs.steps[0].tasks = 2;
        accept("j", pairs);
        decideAndCommit(1);
        decideAndCommit(2);
        CPPUNIT_ASSERT_EQUAL(2U, begun());
        end(0, 3);
        decideAndCommit(3);
        CPPUNIT_ASSERT_EQUAL(2U, begun());
        end(0, 4, 1);
        decideAndCommit(4);
        CPPUNIT_ASSERT_EQUAL(2U, begun());
        CPPUNIT_ASSERT(m_jobTable->find("j")->occurrences.contains(2));
    }

    void cancelledJobBeginsNoFurtherOccurrence()
    {
        addWorker();
        accept("j", repeated(5, 100, 100));
        decideAndCommit(100);
        commit({CancelJob{"j"}}, 150);
        m_dispatcher->takeOrders();
        decideAndCommit(1000);
        CPPUNIT_ASSERT_EQUAL(1U, begun());
        CPPUNIT_ASSERT(m_dispatcher->takeOrders().empty());
    }

private:
    /// Once a minute for ten years.
    static constexpr std::uint32_t manyOccurrences = 5'256'000;
    /// The most steps, or tasks, that one job may have.
    static constexpr std::uint32_t manySteps = 20'000;
    /// Least time after which a follower that hears nothing begins an election.
    static constexpr Duration electionTimeout = std::chrono::milliseconds(500);

    static JobPlan repeated(std::uint32_t count, WallMs first, std::int64_t interval)
    {
        JobPlan repeated = plan(1, 1000);
        repeated.occurrences = count;
        repeated.firstAt = first;
        repeated.intervalMs = interval;
        return repeated;
    }

    static void assertPrompt(const std::function<void()> &step)
    {
        const Instant began = BootClock::now();
        step();
        CPPUNIT_ASSERT(BootClock::now() - began < electionTimeout);
    }

    void startLeader()
    {
        m_dispatcher = std::make_unique<Dispatcher>(DispatchSettings{}, *m_jobTable);
        m_dispatcher->start(at(0));
    }

    void addWorker() { m_dispatcher->workerReported("n1", worker("w1"), at(0)); }

    /// Number of occurrences of which a task was bound, without those that are done.
    [[nodiscard]] std::uint32_t begun() const
    {
        return static_cast<std::uint32_t>(m_jobTable->find("j")->occurrences.size());
    }

    void accept(const std::string &job, const JobPlan &plan)
    {
        commit({AcceptJob{job, "batch", plan}}, 0);
    }

    void commit(const std::vector<StageCommand> &commands, int milliseconds)
    {
        for (const StageCommand &command : commands) {
            const StageOutcome outcome = m_jobTable->apply(0, command);
            m_dispatcher->applied(command, outcome, at(milliseconds));
        }
    }

    void decideAndCommit(int milliseconds)
    {
        commit(m_dispatcher->decide(at(milliseconds), milliseconds), milliseconds);
    }

    /// Ends a task of an occurrence as done.
    void end(std::uint32_t occurrence, int milliseconds, std::uint32_t task = 0)
    {
        const TaskRef ref{"j", occurrence, 0, task};
        m_dispatcher->endReported({ref, m_jobTable->find(ref)->run, RunEnd::Done, {}});
        commit(m_dispatcher->takeCommands(), milliseconds);
    }

    std::unique_ptr<JobTable> m_jobTable;
    std::unique_ptr<Dispatcher> m_dispatcher;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepeatedJobTest);
