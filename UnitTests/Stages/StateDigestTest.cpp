#include "JobTableFixture.h"

#include <rapidcheck.h>

#include <random>

using namespace guavashift;

namespace {

/// Produces commands of all kinds for a few jobs, most of which can be applied.
class RandomCommands final
{
public:
    explicit RandomCommands(std::uint32_t seed)
        : m_random(seed)
    {
    }

    [[nodiscard]] std::uint32_t below(std::uint32_t limit) { return m_random() % limit; }

    [[nodiscard]] StageCommand next(const JobTable &table)
    {
        const std::string job = fmt::format("j{}", below(5));
        const TaskRef ref{job, below(2), below(2), below(2)};
        const StageTask *task = table.find(ref);
        const Lifetime lifetime{fmt::format("w{}", below(2)), 7 + below(2)};
        switch (below(10)) {
        case 0:
            return AcceptJob{job, "counter", plan()};
        case 1:
            return CancelJob{fmt::format("j{}", below(8))};
        case 2:
            return EvacuateDomain{fmt::format("d{}", below(2))};
        case 3:
            return TakeBackDomain{fmt::format("d{}", below(2))};
        case 4:
            return ReplaceConfiguration{fmt::format("{}", 1 + below(150))};
        case 5:
        case 6:
        case 7:
            return StartRun{ref, (task == nullptr ? 0 : task->run) + 1, lifetime,
                            StartPath{fmt::format("n{}", below(2)), below(2) == 0}};
        default:
            return EndRun{ref, task == nullptr ? 1 : task->run, static_cast<RunEnd>(below(7)),
                          below(2) == 0 ? "c1" : "", static_cast<CrashEvidence>(below(4))};
        }
    }

private:
    [[nodiscard]] JobPlan plan()
    {
        JobPlan plan = twoSteps();
        plan.steps[0].gang = below(3) == 0;
        plan.steps[1].longRunning = below(4) == 0;
        if (below(3) == 0) {
            plan.occurrences = 2;
            plan.intervalMs = 10;
        }
        return plan;
    }

    std::mt19937 m_random;
};

} // namespace

/// The digest by which replicas compare their states.
class StateDigestTest : public JobTableFixture
{
    CPPUNIT_TEST_SUITE(StateDigestTest);
    CPPUNIT_TEST(showsADifferenceBeforeAnOutcomeDiffers);
    CPPUNIT_TEST(isTheSameWithASnapshotInBetween);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against states that differ unseen until a command has another outcome, which may be
    /// under another leader.
    void showsADifferenceBeforeAnOutcomeDiffers()
    {
        accept(twoSteps());
        CPPUNIT_ASSERT(start(task(0, 0), 1));
        JobTable other(JobTableSettings{1000}, readVersion);
        CPPUNIT_ASSERT(other.load(m_jobTable->save()));
        CPPUNIT_ASSERT_EQUAL(m_jobTable->stateDigest(), other.stateDigest());
        CPPUNIT_ASSERT(
            m_jobTable->apply(0, EndRun{task(0, 0), 1, RunEnd::Stopped, "c1", {}}).applied);
        CPPUNIT_ASSERT(other.apply(0, EndRun{task(0, 0), 1, RunEnd::Stopped, "c2", {}}).applied);
        CPPUNIT_ASSERT_EQUAL(m_jobTable->digest(), other.digest());
        CPPUNIT_ASSERT(m_jobTable->stateDigest() != other.stateDigest());
    }

    /// Guards against replicas whose states differ because one of them has read its state from a
    /// snapshot and the other one has not.
    void isTheSameWithASnapshotInBetween()
    {
        const bool held =
            rc::check("a loaded state stays equal to the saved one", [](std::uint32_t seed) {
                RandomCommands commands(seed);
                JobTable table(JobTableSettings{1000}, readVersion);
                auto copy = std::make_unique<JobTable>(JobTableSettings{1000}, readVersion);
                WallMs time = 0;
                for (int i = 0; i < 200; ++i) {
                    time += commands.below(20) == 0 ? 700 : commands.below(10);
                    const StageCommand command = commands.next(table);
                    const StageOutcome outcome = table.apply(time, command);
                    RC_ASSERT(copy->apply(time, command).applied == outcome.applied);
                    RC_ASSERT(copy->stateDigest() == table.stateDigest());
                    if (commands.below(10) != 0)
                        continue;
                    copy = std::make_unique<JobTable>(JobTableSettings{1000}, readVersion);
                    RC_ASSERT(copy->load(table.save()).has_value());
                    RC_ASSERT(copy->stateDigest() == table.stateDigest());
                }
            });
        CPPUNIT_ASSERT(held);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateDigestTest);
