#include <Guavashift/State/State.h>

#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <rapidcheck.h>

using namespace guavashift;

namespace {

constexpr std::size_t workerCount = 4;

Json configuration()
{
    return {{"teams",
             {{"a", {{"quota", {{"milliCores", 20'000}, {"memoryMb", 64'000}}}}},
              {"b", {{"quota", {{"milliCores", 6'000}, {"memoryMb", 64'000}}}}}}},
            {"services",
             {{"quotes", {{"team", "a"}, {"replicas", 2}, {"size", {{"milliCores", 1'000}}}}}}}};
}

WorkerId workerAt(std::size_t index)
{
    return WorkerId{"w" + std::to_string(index)};
}

/// Applies random commands of a fleet of agents and of a leader that checks nothing; many are
/// stale.
class RandomHistory final
{
public:
    RandomHistory(std::uint64_t seed, StateMachine &state)
        : m_random(seed)
        , m_state(state)
    {
        run(SubmitPatch{{"op", "setup", 0, configuration()}});
    }

    /// Applies one random command; returns the violated rules.
    std::vector<std::string> step()
    {
        m_now += static_cast<WallMs>(m_random() % 500);
        run(next());
        std::vector<std::string> broken;
        for (const Finding &finding : m_state.checkInvariants())
            broken.push_back(finding.place + ": " + finding.message);
        if (m_overlappingAttempts)
            broken.emplace_back("an attempt started while another may have run");
        return broken;
    }

private:
    std::size_t below(std::size_t limit) { return m_random() % limit; }

    const Task *anyTask()
    {
        if (m_state.tasks().empty())
            return nullptr;
        auto at = m_state.tasks().begin();
        std::advance(at, below(m_state.tasks().size()));
        return &at->second;
    }

    void run(const CommandBody &command)
    {
        const Outcome outcome = m_state.apply(m_now, command);
        track(command, outcome);
    }

    /// Tracks the attempts that really run: a start adds the attempt to its VM, and only its
    /// reported end, the end of its lease or a restart of the VM removes it.
    void track(const CommandBody &command, const Outcome &outcome)
    {
        if (const auto *start = std::get_if<StartAttempt>(&command);
            start != nullptr && std::holds_alternative<AttemptStarted>(outcome)) {
            m_overlappingAttempts = m_overlappingAttempts || m_running.contains(start->task);
            m_running[start->task] = {start->worker, std::get<AttemptStarted>(outcome).attempt};
        }
        if (const auto *lost = std::get_if<DeclareWorkerLost>(&command);
            lost != nullptr && std::holds_alternative<Applied>(outcome))
            std::erase_if(m_running,
                          [&](const auto &item) { return item.second.first == lost->worker; });
    }

    CommandBody next()
    {
        const std::size_t kind = below(20);
        const WorkerId worker = workerAt(below(workerCount));
        if (kind < 3)
            return announce(worker);
        if (kind < 5)
            return SubmitJob{{TeamId{below(2) == 0 ? "a" : "b"},
                              "job" + std::to_string(below(30)),
                              "family",
                              static_cast<std::uint32_t>(1 + below(3)),
                              {static_cast<std::int64_t>(500 * (1 + below(6))), 1'000, 0},
                              below(5) == 0,
                              below(3) == 0 ? m_now + 1'000 : 0,
                              0,
                              1'000}};
        if (kind == 5)
            return CancelJobs{TeamId{below(2) == 0 ? "a" : "b"},
                              {"job" + std::to_string(below(30))}};
        if (kind == 6)
            return DeclareWorkerLost{worker, incarnationOf(worker)};
        if (kind == 7)
            return DrainWorker{worker, below(2) == 0};
        const Task *task = anyTask();
        if (task == nullptr)
            return announce(worker);
        if (kind < 13)
            return StartAttempt{task->id, worker, incarnationOf(worker), task->size};
        // Mostly the current attempt, sometimes a stale or nonexistent one.
        const Attempt attempt = below(4) == 0 ? below(3) : task->attempt;
        if (kind < 15)
            return EvictAttempt{task->id, attempt};
        return report(*task, attempt);
    }

    CommandBody announce(const WorkerId &worker)
    {
        if (below(6) == 0) {
            ++m_boots[worker];
            std::erase_if(m_running, [&](const auto &item) { return item.second.first == worker; });
        }
        WorkerFacts facts;
        facts.incarnation = incarnationOf(worker);
        facts.bootId = std::to_string(m_boots[worker]);
        facts.capacity = {4'000, 8'000, 0};
        return AnnounceWorker{worker, facts};
    }

    static Incarnation incarnationOf(const WorkerId &worker)
    {
        return Incarnation{worker.value + "-agent"};
    }

    CommandBody report(const Task &task, Attempt attempt)
    {
        static constexpr AttemptEvent events[] = {AttemptEvent::Started, AttemptEvent::Completed,
                                                  AttemptEvent::Failed, AttemptEvent::Stopped};
        ReportAttempt report{task.id,          attempt, task.worker,
                             events[below(4)], "done",  static_cast<std::int64_t>(below(1'000))};
        const auto running = m_running.find(task.id);
        const bool real = running != m_running.end()
            && running->second == std::pair(report.worker, report.attempt);
        if (report.event != AttemptEvent::Started) {
            // An agent reports the end only of an attempt that ran there, possibly late.
            if (real)
                m_running.erase(running);
            else if (attempt == task.attempt)
                report.event = AttemptEvent::Started;
        }
        return report;
    }

    std::mt19937_64 m_random;
    StateMachine &m_state;
    WallMs m_now = 1'000'000;
    std::map<WorkerId, int> m_boots;
    std::map<TaskId, std::pair<WorkerId, Attempt>> m_running;
    bool m_overlappingAttempts = false;
};

std::size_t countBroken(const StateRules &rules)
{
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        StateMachine state(rules);
        RandomHistory history(seed, state);
        bool valid = true;
        for (int i = 0; i < 400 && valid; ++i)
            valid = history.step().empty();
        broken += valid ? 0 : 1;
    }
    return broken;
}

} // namespace

/// The invariants hold after every command, whatever stale or wrong commands are proposed.
class StatePropertyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StatePropertyTest);
    CPPUNIT_TEST(ledgerHoldsAfterEveryCommand);
    CPPUNIT_TEST(breaksWithoutCapacityCheck);
    CPPUNIT_TEST(breaksWithoutAttemptCheck);
    CPPUNIT_TEST(breaksWithoutKeptReservation);
    CPPUNIT_TEST(replayGivesTheSameHash);
    CPPUNIT_TEST_SUITE_END();

public:
    void ledgerHoldsAfterEveryCommand()
    {
        CPPUNIT_ASSERT(rc::check("the invariants hold", [] {
            StateMachine state;
            RandomHistory history(*rc::gen::arbitrary<std::uint64_t>(), state);
            const int length = *rc::gen::inRange(1, 600);
            for (int i = 0; i < length; ++i) {
                const std::vector<std::string> broken = history.step();
                for (const std::string &each : broken)
                    RC_LOG() << each << "\n";
                RC_ASSERT(broken.empty());
            }
        }));
    }

    void breaksWithoutCapacityCheck()
    {
        CPPUNIT_ASSERT(countBroken({.checkCapacity = false}) > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countBroken({}));
    }

    void breaksWithoutAttemptCheck() { CPPUNIT_ASSERT(countBroken({.checkAttempt = false}) > 0); }

    void breaksWithoutKeptReservation()
    {
        CPPUNIT_ASSERT(countBroken({.keepReservationUntilEnd = false}) > 0);
    }

    void replayGivesTheSameHash()
    {
        // The same history, once without and once with snapshots saved and loaded on the way.
        StateMachine whole;
        StateMachine parts;
        RandomHistory first(5, whole);
        RandomHistory second(5, parts);
        for (int i = 0; i < 500; ++i) {
            (void)first.step();
            (void)second.step();
            if (i % 100 != 99)
                continue;
            StateMachine loaded;
            CPPUNIT_ASSERT(SnapshotCodec::decode(SnapshotCodec::encode(parts), loaded));
            CPPUNIT_ASSERT_EQUAL(SnapshotCodec::hash(parts), SnapshotCodec::hash(loaded));
            CPPUNIT_ASSERT(loaded.checkInvariants().empty());
            parts = std::move(loaded);
            CPPUNIT_ASSERT_EQUAL(SnapshotCodec::hash(whole), SnapshotCodec::hash(parts));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatePropertyTest);
