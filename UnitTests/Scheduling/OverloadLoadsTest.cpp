#include "FluidPool.h"

namespace guavashift {

namespace {

SentJob quick(WallMs sentAt)
{
    SentJob job;
    job.sentAt = sentAt;
    job.queue = "quick";
    job.tasks = 4;
    job.milliCores = 500;
    job.estimateMs = job.takesMs = 500;
    job.objectiveMs = 1500;
    return job;
}

SentJob heavy(WallMs sentAt)
{
    SentJob job;
    job.sentAt = sentAt;
    job.queue = "heavy";
    job.tasks = 20;
    job.milliCores = 2000;
    job.estimateMs = job.takesMs = 2000;
    job.objectiveMs = 5000;
    return job;
}

/// Jobs of one kind from `begin` to `end`, one each `everyMs`.
void add(std::vector<SentJob> &jobs, const std::function<SentJob(WallMs)> &kind, WallMs begin,
         WallMs end, double everyMs)
{
    for (int i = 0; begin + static_cast<WallMs>(i * everyMs) < end; ++i)
        jobs.push_back(kind(begin + static_cast<WallMs>(i * everyMs)));
}

} // namespace

/// What callers see under loads that exceed the room, against the order of objectives alone.
class OverloadLoadsTest final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OverloadLoadsTest);
    CPPUNIT_TEST(burstOfHeavyJobsOverSteadyQuickOnes);
    CPPUNIT_TEST(allKindsAtTwiceTheRoomForFifteenSeconds);
    CPPUNIT_TEST(waveThatComesBackFromDifferentDomainsInTurn);
    CPPUNIT_TEST(roomThatShrinksByAFifthWhileFull);
    CPPUNIT_TEST(estimatesThatAreOffByNineTenths);
    CPPUNIT_TEST(calmLoadHasNoPlaces);
    CPPUNIT_TEST_SUITE_END();

    /// 100 cores. A quick job takes one core-second, a heavy one 80.
    static constexpr double room = 100'000;

    /// Runs the jobs both ways and checks that no queue has fewer in time for the plan.
    void compare(const std::vector<SentJob> &jobs, const std::function<double(WallMs)> &roomAt)
    {
        m_byObjective.run(jobs, roomAt);
        m_planned.run(jobs, roomAt);
        for (const std::string queue : {"quick", "heavy"}) {
            const std::string figures =
                fmt::format("{}: {} in time by objective, {} planned", queue,
                            m_byObjective.ofQueue(queue).inTime, m_planned.ofQueue(queue).inTime);
            CPPUNIT_ASSERT_MESSAGE(
                figures, m_planned.ofQueue(queue).inTime >= m_byObjective.ofQueue(queue).inTime);
        }
    }

    FluidPool m_byObjective{false};
    FluidPool m_planned{true};

    void burstOfHeavyJobsOverSteadyQuickOnes()
    {
        std::vector<SentJob> jobs;
        add(jobs, quick, 0, 30'000, 50);
        add(jobs, heavy, 5000, 5500, 25);
        compare(jobs, [](WallMs) { return room; });
        CPPUNIT_ASSERT_EQUAL(m_planned.ofQueue("quick").sent, m_planned.ofQueue("quick").inTime);
        CPPUNIT_ASSERT(m_planned.planner().counts().putBack > 0);
    }

    void allKindsAtTwiceTheRoomForFifteenSeconds()
    {
        std::vector<SentJob> jobs;
        // Nine tenths of the room before and after.
        add(jobs, quick, 0, 45'000, 50);
        add(jobs, heavy, 0, 45'000, 1100);
        add(jobs, quick, 10'000, 25'000, 50);
        add(jobs, heavy, 10'000, 25'000, 640);
        compare(jobs, [](WallMs) { return room; });
        CPPUNIT_ASSERT(m_planned.ofQueue("heavy").inTime > m_byObjective.ofQueue("heavy").inTime);
        CPPUNIT_ASSERT(m_planned.ofQueue("heavy").worthless
                       < m_byObjective.ofQueue("heavy").worthless);
    }

    void waveThatComesBackFromDifferentDomainsInTurn()
    {
        std::vector<SentJob> jobs;
        const std::vector<std::string> domains{"a", "b", "c"};
        for (int wave = 0; wave < 6; ++wave) {
            const WallMs begin = wave * WallMs{15'000};
            std::vector<SentJob> sent;
            add(sent, quick, begin, begin + 5000, 25);
            add(sent, heavy, begin, begin + 5000, 400);
            for (SentJob &job : sent) {
                job.domain = domains[static_cast<std::size_t>(wave) % domains.size()];
                jobs.push_back(job);
            }
        }
        compare(jobs, [](WallMs) { return room; });
        double least = 1;
        double most = 0;
        for (const std::string &domain : domains) {
            least = std::min(least, m_planned.ofDomain(domain).share());
            most = std::max(most, m_planned.ofDomain(domain).share());
        }
        CPPUNIT_ASSERT(most - least < 0.05);
    }

    void roomThatShrinksByAFifthWhileFull()
    {
        std::vector<SentJob> jobs;
        add(jobs, quick, 0, 40'000, 50);
        add(jobs, heavy, 0, 40'000, 1050);
        compare(jobs, [](WallMs now) { return now >= 10'000 && now < 25'000 ? room * 0.8 : room; });
    }

    void estimatesThatAreOffByNineTenths()
    {
        std::vector<SentJob> jobs;
        add(jobs, quick, 0, 30'000, 50);
        add(jobs, heavy, 0, 30'000, 500);
        // Each estimate is off to one side or the other.
        for (std::size_t i = 0; i < jobs.size(); ++i) {
            const std::int64_t off = jobs[i].takesMs * 9 / 10;
            jobs[i].estimateMs = jobs[i].takesMs + (i / 2 % 2 == 0 ? off : -off);
        }
        compare(jobs, [](WallMs) { return room; });
    }

    void calmLoadHasNoPlaces()
    {
        std::vector<SentJob> jobs;
        add(jobs, quick, 0, 20'000, 100);
        add(jobs, heavy, 0, 20'000, 2000);
        compare(jobs, [](WallMs) { return room; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_planned.planner().counts().putBack);
        CPPUNIT_ASSERT_EQUAL(1.0, m_planned.ofQueue("heavy").share());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadLoadsTest);

} // namespace guavashift
