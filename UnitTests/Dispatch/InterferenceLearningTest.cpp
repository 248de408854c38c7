#include "DispatchFixture.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// What the leader learns about best-effort tasks beside the tasks of one latency-critical step.
class InterferenceLearningTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(InterferenceLearningTest);
    CPPUNIT_TEST(blamesNoImageForAWaveOfLoad);
    CPPUNIT_TEST(findsInterferenceHiddenByAWaveOfLoad);
    CPPUNIT_TEST(placesHarmlessTasksAtThePeakOfAWave);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_jobTable.apply(0, ReplaceConfiguration{"x"});
        m_dispatcher.start(at(0));
        m_dispatcher.workerReported("n1", worker("w1"), at(0));
        m_dispatcher.workerReported("n2", worker("w2"), at(0));
        // One task fits on each worker.
        JobPlan server = plan(2, 40'000);
        server.steps[0].longRunning = true;
        server.steps[0].tailTargetMs = targetMs;
        server.steps[0].image = "server";
        accept("server", server);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit());
        for (std::uint32_t t = 0; t < 2; ++t)
            m_servers[m_jobTable.find({"server", 0, 0, t})->lifetime.worker] = t;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_servers.size());
    }

    /// Guards against latency-critical tasks over their target: the rise of their own load counted
    /// as interference of best-effort tasks that started at the time.
    void blamesNoImageForAWaveOfLoad()
    {
        start("feather");
        CPPUNIT_ASSERT(learn("feather", 0, 1) < 1);
    }

    /// Guards against latency-critical tasks over their target: the fall of their own load hid the
    /// interference of best-effort tasks that started at the time.
    void findsInterferenceHiddenByAWaveOfLoad()
    {
        start("press");
        CPPUNIT_ASSERT_DOUBLES_EQUAL(7, learn("press", 7, -1), 1);
    }

    /// Guards against best-effort jobs that wait for the trough of a wave though they would cost
    /// latency-critical tasks next to nothing.
    void placesHarmlessTasksAtThePeakOfAWave()
    {
        start("feather");
        CPPUNIT_ASSERT(learn("feather", 0.8, 1) >= 0.4);
        for (int i = 0; i < 6; ++i, m_nowMs += reportMs) {
            report("w1", 1.2, {});
            report("w2", 1.2, {});
        }
        JobPlan more = plan(1, 6400);
        more.steps[0].bestEffort = true;
        more.steps[0].image = "feather";
        accept("more", more);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit());
    }

private:
    static constexpr std::int64_t targetMs = 50;
    static constexpr int reportMs = 500;

    /// Runs one best-effort task of the image.
    void start(const std::string &image)
    {
        JobPlan task = plan(1, 19'200);
        task.steps[0].bestEffort = true;
        task.steps[0].image = image;
        accept(image, task);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit());
        m_bestEffortWorker = m_jobTable.find({image, 0, 0, 0})->lifetime.worker;
    }

    /// Reports 20 s of a wave of load that both workers share. The best-effort task works where the
    /// wave times `phase` is high. Returns the interference that the leader sends.
    double learn(const std::string &image, double interference, double phase)
    {
        double learned = -1;
        for (int i = 0; i < 40; ++i, m_nowMs += reportMs) {
            const double wave = std::sin(i * 0.5);
            const bool works = phase * wave > 0;
            for (const auto &[name, task] : m_servers) {
                const bool here = works && name == m_bestEffortWorker;
                report(name, 2.5 - wave - (here ? 0.3 * interference : 0),
                       {{{image, 0, 0, 0}, 1, {}, 0, here ? 19'200.0 : 0.0}});
            }
            for (const auto &[node, rows] : m_dispatcher.takeInterference(at(m_nowMs)))
                for (const InterferenceRow &row : rows)
                    learned = row.interference;
        }
        return learned;
    }

    void report(const std::string &name, double headroom, std::vector<RunStatus> rows)
    {
        if (name != m_bestEffortWorker)
            rows.clear();
        rows.push_back({{"server", 0, 0, m_servers.at(name)}, 1, {}, 100, targetMs / headroom});
        CPPUNIT_ASSERT(m_dispatcher.leaseGranted(name == "w1" ? "n1" : "n2", at(m_nowMs)));
        m_dispatcher.runsReported(worker(name).lifetime, rows, at(m_nowMs));
    }

    void accept(const std::string &job, const JobPlan &plan)
    {
        const StageCommand command = AcceptJob{job, "batch", plan};
        m_dispatcher.applied(command, m_jobTable.apply(0, command), at(m_nowMs));
    }

    std::size_t decideAndCommit()
    {
        const std::vector<StageCommand> commands = m_dispatcher.decide(at(m_nowMs), m_nowMs);
        for (const StageCommand &command : commands)
            m_dispatcher.applied(command, m_jobTable.apply(0, command), at(m_nowMs));
        m_nowMs += reportMs;
        return commands.size();
    }

    JobTable m_jobTable{JobTableSettings{}, readAny};
    Dispatcher m_dispatcher{DispatchSettings{}, m_jobTable};
    std::map<std::string, std::uint32_t> m_servers; ///< Task of the step on each worker.
    std::string m_bestEffortWorker;
    int m_nowMs = 1;
};

CPPUNIT_TEST_SUITE_REGISTRATION(InterferenceLearningTest);
