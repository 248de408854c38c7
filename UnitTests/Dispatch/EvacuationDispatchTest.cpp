#include "DispatchFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// Starts in a failure domain that an operator evacuates: "north" with the workers n1 and n2, while
/// "south" has the workers s1 and s2.
class EvacuationDispatchTest : public DispatchFixture
{
    CPPUNIT_TEST_SUITE(EvacuationDispatchTest);
    CPPUNIT_TEST(startsNothingInAnEvacuatedDomain);
    CPPUNIT_TEST(startsNothingWhenAllDomainsAreEvacuated);
    CPPUNIT_TEST(holdsNoWorkerInAnEvacuatedDomain);
    CPPUNIT_TEST(placesAGangOutside);
    CPPUNIT_TEST(withholdsAStartWhoseBindingCommitsLater);
    CPPUNIT_TEST(withholdsAStartBoundInTheSameBatch);
    CPPUNIT_TEST(withholdsAWholeGang);
    CPPUNIT_TEST(stopsAStartThatNoListNames);
    CPPUNIT_TEST(letsRunsGoOn);
    CPPUNIT_TEST(stopsNothingWithoutALaterList);
    CPPUNIT_TEST(nextLeaderKeepsTheDomainClosed);
    CPPUNIT_TEST(workerThatArrivesLaterIsExcluded);
    CPPUNIT_TEST(returnedWorkersFillGradually);
    CPPUNIT_TEST(lastingTasksPreferWarmWorkers);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_jobTable = std::make_unique<JobTable>(JobTableSettings{}, readAny);
        m_jobTable->apply(0, ReplaceConfiguration{"x"});
        startLeader(DispatchSettings{}, 0);
    }

    void startsNothingInAnEvacuatedDomain()
    {
        evacuate("north", 1);
        accept("j", plan(8, 20'000));
        decideAndCommit(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, startsIn('n'));
        // Three on each of the workers in the other domain.
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, startsIn('s'));
        commit({TakeBackDomain{"north"}}, 100);
        decideAndCommit(101);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, startsIn('n'));
    }

    void startsNothingWhenAllDomainsAreEvacuated()
    {
        evacuate("north", 1);
        evacuate("south", 1);
        accept("j", plan(2, 1000));
        for (int now = 2; now < 3000; now += 100)
            decideAndCommit(now);
        CPPUNIT_ASSERT(m_starts.empty());
        CPPUNIT_ASSERT(m_jobTable->find("j")->isActive());
        commit({TakeBackDomain{"south"}}, 3000);
        decideAndCommit(3100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, startsIn('s'));
    }

    /// A long-running task without room may hold a worker, which must be one that it can use.
    void holdsNoWorkerInAnEvacuatedDomain()
    {
        accept("full", plan(4, 60'000));
        decideAndCommit(1);
        evacuate("north", 2);
        JobPlan lasting = plan(1, 50'000);
        lasting.steps[0].longRunning = true;
        accept("j", lasting);
        decideAndCommit(100);
        for (std::uint32_t t = 0; t < 4; ++t)
            m_dispatcher->endReported({{"full", 0, 0, t}, 1, RunEnd::Done, {}});
        m_starts.clear();
        decideAndCommit(200);
        decideAndCommit(300);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, startsIn('n'));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, startsIn('s'));
    }

    void placesAGangOutside()
    {
        evacuate("north", 1);
        JobPlan gang = plan(3, 40'000);
        gang.steps[0].gang = true;
        accept("too-large", gang);
        gang.steps[0].tasks = 2;
        accept("j", gang);
        decideAndCommit(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, startsIn('n'));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, startsIn('s'));
    }

    /// The binding was proposed before the evacuation and commits after it.
    void withholdsAStartWhoseBindingCommitsLater()
    {
        accept("j", plan(4, 60'000));
        const std::vector<StageCommand> bindings = m_dispatcher->decide(at(1), 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, bindings.size());
        evacuate("north", 2);
        commit(bindings, 3);
        takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, startsIn('n'));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, startsIn('s'));
        // The tasks wait without having used an attempt, and start elsewhere.
        m_dispatcher->endReported({startedIn('s'), 1, RunEnd::Done, {}});
        decideAndCommit(100);
        decideAndCommit(200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, startsIn('s'));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, startsIn('n'));
        for (std::uint32_t t = 0; t < 4; ++t)
            CPPUNIT_ASSERT_EQUAL(0U, m_jobTable->find({"j", 0, 0, t})->failures);
    }

    void withholdsAStartBoundInTheSameBatch()
    {
        accept("j", plan(4, 60'000));
        std::vector<StageCommand> batch = m_dispatcher->decide(at(1), 1);
        batch.emplace_back(EvacuateDomain{"north"});
        commit(batch, 2);
        takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, startsIn('n'));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, startsIn('s'));
    }

    /// Members elsewhere would wait for those that may not start.
    void withholdsAWholeGang()
    {
        for (const bool inOneBatch : {false, true}) {
            setUp();
            JobPlan gang = plan(4, 60'000);
            gang.steps[0].gang = true;
            accept("j", gang);
            std::vector<StageCommand> bindings = m_dispatcher->decide(at(1), 1);
            CPPUNIT_ASSERT_EQUAL(std::size_t{4}, bindings.size());
            if (inOneBatch)
                bindings.emplace_back(EvacuateDomain{"north"});
            else
                evacuate("north", 2);
            commit(bindings, 3);
            takeOrders();
            CPPUNIT_ASSERT(m_starts.empty());
            decideAndCommit(100);
            CPPUNIT_ASSERT(m_starts.empty());
            commit({TakeBackDomain{"north"}}, 200);
            decideAndCommit(300);
            CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_starts.size());
        }
    }

    /// The order was sent just before, and its worker has not carried it out.
    void stopsAStartThatNoListNames()
    {
        accept("j", plan(4, 60'000));
        decideAndCommit(1);
        evacuate("north", 2);
        listAll(200, false);
        decideAndCommit(201);
        CPPUNIT_ASSERT(m_stops.empty());
        listAll(1100, false);
        decideAndCommit(1101);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_stops.size());
        decideAndCommit(1200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_stops.size());
    }

    void letsRunsGoOn()
    {
        JobPlan lasting = plan(4, 60'000);
        lasting.steps[0].longRunning = true;
        lasting.steps[0].maxUnavailable = 1;
        accept("j", lasting);
        decideAndCommit(1);
        evacuate("north", 2);
        for (int now = 100; now < 10'000; now += 500) {
            for (const char *node : {"n1", "n2", "s1", "s2"})
                CPPUNIT_ASSERT(m_dispatcher->leaseGranted(node, at(now)));
            listAll(now, true);
            decideAndCommit(now + 1);
        }
        CPPUNIT_ASSERT(m_stops.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_starts.size());
    }

    /// The list is late, as after a pause of the leader or of the link: the run may be at work.
    void stopsNothingWithoutALaterList()
    {
        accept("j", plan(4, 60'000));
        decideAndCommit(1);
        evacuate("north", 2);
        listAll(300, false);
        decideAndCommit(4000);
        CPPUNIT_ASSERT(m_stops.empty());
        listAll(4001, true);
        decideAndCommit(4002);
        CPPUNIT_ASSERT(m_stops.empty());
    }

    /// The leader dies between the commit and the start.
    void nextLeaderKeepsTheDomainClosed()
    {
        accept("j", plan(8, 60'000));
        evacuate("north", 1);
        JobTable restored(JobTableSettings{}, readAny);
        CPPUNIT_ASSERT(restored.load(m_jobTable->save()));
        *m_jobTable = std::move(restored);
        startLeader(DispatchSettings{}, 10);
        decideAndCommit(20);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, startsIn('n'));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, startsIn('s'));
    }

    void workerThatArrivesLaterIsExcluded()
    {
        evacuate("west", 1);
        report("w1", "west", 2);
        accept("j", plan(5, 60'000));
        decideAndCommit(3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_starts.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, startsIn('w'));
    }

    void returnedWorkersFillGradually()
    {
        DispatchSettings settings;
        settings.warmUp.overshoot = 1.5;
        settings.warmUp.slack = 2;
        startLeader(settings, 0);
        evacuate("north", 1);
        accept("warm", plan(16, 8000));
        decideAndCommit(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{16}, startsIn('s'));
        m_jobTable->apply(10'000, TakeBackDomain{"north"});
        accept("j", plan(40, 1000));
        decideAt(10'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, startsIn('n'));
        // Half of the time has passed: 2 + 1.5 * 0.5 * 8 each.
        decideAt(11'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{16}, startsIn('n'));
        decideAt(12'100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{40}, startsIn('n'));
    }

    void lastingTasksPreferWarmWorkers()
    {
        DispatchSettings settings;
        settings.warmUp.overshoot = 1.5;
        settings.warmUp.slack = 5;
        startLeader(settings, 0);
        for (const char *id : {"n1", "n2"}) {
            WorkerFacts facts = factsOf(id, "north");
            facts.coldLeftMs = 8000;
            m_dispatcher->workerReported(id, facts, at(1));
        }
        JobPlan lasting = plan(4, 10'000);
        lasting.steps[0].longRunning = true;
        accept("j", lasting);
        decideAndCommit(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, startsIn('s'));
    }

private:
    static WorkerFacts factsOf(const std::string &id, const std::string &domain)
    {
        WorkerFacts facts = worker(id);
        facts.zone = domain;
        return facts;
    }

    void report(const std::string &id, const std::string &domain, int milliseconds)
    {
        m_dispatcher->lifetimeAnswered(id, {id, 1});
        m_dispatcher->workerReported(id, factsOf(id, domain), at(milliseconds));
        m_dispatcher->inventoryReported({id, 1}, {}, at(milliseconds));
    }

    void startLeader(const DispatchSettings &settings, int milliseconds)
    {
        m_starts.clear();
        m_stops.clear();
        m_dispatcher = std::make_unique<Dispatcher>(settings, *m_jobTable);
        m_dispatcher->start(at(milliseconds));
        for (const char *id : {"n1", "n2"})
            report(id, "north", milliseconds);
        for (const char *id : {"s1", "s2"})
            report(id, "south", milliseconds);
    }

    void accept(const std::string &job, const JobPlan &plan)
    {
        commit({AcceptJob{job, "batch", plan}}, 0);
    }

    void evacuate(const std::string &domain, int milliseconds)
    {
        commit({EvacuateDomain{domain}}, milliseconds);
    }

    void decideAndCommit(int milliseconds)
    {
        DispatchFixture::decideAndCommit(milliseconds);
        takeOrders();
    }

    /// Decides while the leases of all workers last.
    void decideAt(int milliseconds)
    {
        for (const char *node : {"n1", "n2", "s1", "s2"})
            CPPUNIT_ASSERT(m_dispatcher->leaseGranted(node, at(milliseconds)));
        decideAndCommit(milliseconds);
    }

    void takeOrders()
    {
        for (auto &[node, order] : m_dispatcher->takeOrders()) {
            if (const auto *start = std::get_if<StartOrder>(&order))
                m_starts.push_back(*start);
            else
                m_stops.push_back(std::get<StopOrder>(order));
        }
    }

    /// Lists what the agents know to run: all ordered starts, or none.
    void listAll(int milliseconds, bool running)
    {
        for (const char *id : {"n1", "n2", "s1", "s2"}) {
            std::vector<RunStatus> rows;
            for (const StartOrder &start : m_starts) {
                if (running && start.lifetime.worker == id)
                    rows.push_back({start.traits.task, start.traits.run, {}, 100, 0});
            }
            m_dispatcher->runsReported({id, 1}, rows, at(milliseconds));
        }
    }

    [[nodiscard]] std::size_t startsIn(char domain) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_starts.begin(), m_starts.end(), [&](const StartOrder &start) {
                return start.lifetime.worker.front() == domain;
            }));
    }

    [[nodiscard]] TaskRef startedIn(char domain) const
    {
        const auto found =
            std::find_if(m_starts.begin(), m_starts.end(), [&](const StartOrder &start) {
                return start.lifetime.worker.front() == domain;
            });
        CPPUNIT_ASSERT(found != m_starts.end());
        return found->traits.task;
    }

    std::vector<StartOrder> m_starts;
    std::vector<StopOrder> m_stops;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationDispatchTest);
