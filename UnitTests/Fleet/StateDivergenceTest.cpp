#include <Guavashift/Consensus/DataFolder.h>
#include <UnitTests/Fleet/FleetScenario.h>

using namespace guavashift;

namespace {

/// Time after which the fleet serves again, `recovery_s` of the deployments.
constexpr Duration recoveryLimit = std::chrono::seconds(12);
/// Time after which a control process counts towards the losses that are tolerated, `catch_up_s`
/// of the deployments.
constexpr Duration catchUpLimit = std::chrono::seconds(4);

/// Removes the submission of a job from the stored log.
void removeSubmission(PersistentState &state, std::string_view job)
{
    for (LogEntry &entry : state.entries) {
        if (entry.kind != EntryKind::Command)
            continue;
        StageBatch batch = StageBatch::decode(entry.payload);
        std::erase_if(batch.commands, [job](const StageCommand &command) {
            const auto *accepted = std::get_if<AcceptJob>(&command);
            return accepted != nullptr && accepted->job == job;
        });
        entry.payload = batch.encode();
    }
}

/// Replaces all entries but the last one by a snapshot that no job table can load.
void replaceByUnreadableSnapshot(PersistentState &state)
{
    CPPUNIT_ASSERT(!state.snapshot && state.entries.size() > 1);
    auto snapshot = std::make_shared<Snapshot>();
    const LogEntry &covered = state.entries[state.entries.size() - 2];
    snapshot->lastIndex = covered.index;
    snapshot->lastTerm = covered.term;
    snapshot->membership = Json::parse(state.entries.front().payload).get<Membership>();
    snapshot->data = "no state";
    state.snapshot = std::move(snapshot);
    state.entries.erase(state.entries.begin(), state.entries.end() - 1);
}

} // namespace

/// Control processes of which one has another state than the others.
class StateDivergenceTest : public FleetScenario
{
    CPPUNIT_TEST_SUITE(StateDivergenceTest);
    CPPUNIT_TEST(servesWhenTheLeadersStateDiffers);
    CPPUNIT_TEST(repairsAFollowerWhoseStateDiffers);
    CPPUNIT_TEST(servesWhenNoQuorumHasTheSameState);
    CPPUNIT_TEST(takesPartWithASnapshotThatCannotBeLoaded);
    CPPUNIT_TEST(usesNoDiscardedStateAfterARestart);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a leader whose state is wrong and that makes all others stop for good.
    void servesWhenTheLeadersStateDiffers()
    {
        const std::size_t odd = restartWithoutJob();
        lead(odd);
        assertServesThroughADigest();
        // One more control process may be lost.
        m_cores[(odd + 1) % cores].reset();
        CPPUNIT_ASSERT(isAccepted("last"));
        assertKnowsJobAsLeader(odd);
    }

    /// Guards against a control process whose state is wrong and that takes no part for good, so
    /// that the next loss ends the fleet's service.
    void repairsAFollowerWhoseStateDiffers()
    {
        const std::size_t odd = restartWithoutJob();
        assertServesThroughADigest();
        m_cores[(odd + 1) % cores].reset();
        CPPUNIT_ASSERT(isAccepted("last"));
        assertKnowsJobAsLeader(odd);
    }

    /// Guards against two control processes that stop because their states differ while the third
    /// one, which could tell whose is wrong, is down.
    void servesWhenNoQuorumHasTheSameState()
    {
        const std::size_t odd = restartWithoutJob();
        m_cores[(odd + 1) % cores].reset();
        assertServesThroughADigest();
        startCore(static_cast<int>((odd + 1) % cores), false);
        assertServesThroughADigest();
        assertKnowsJobAsLeader(odd);
    }

    /// Guards against a control process that neither votes nor stores, because its snapshot cannot
    /// be loaded.
    void takesPartWithASnapshotThatCannotBeLoaded()
    {
        submit("job", planOf(1));
        until([this] { return isInState("job", "completed"); });
        const std::size_t odd = restartWith(replaceByUnreadableSnapshot);
        m_cores[(odd + 1) % cores].reset();
        CPPUNIT_ASSERT(isAccepted("last"));
        assertKnowsJobAsLeader(odd);
    }

    /// Guards against a state that was found to be wrong and is used again, because the process
    /// ends or its disk fails before a right one is stored.
    void usesNoDiscardedStateAfterARestart()
    {
        submit("job", planOf(1));
        until([this] { return isInState("job", "completed"); });
        const std::size_t odd = (leadingCore() + 1) % cores;
        const std::string folder = settingsOf(static_cast<int>(odd)).dataFolder;
        m_cores[odd].reset();
        CPPUNIT_ASSERT(DataFolder::markState(folder, true));
        m_alterStored[odd] = [](PersistentState &state) { removeSubmission(state, "job"); };
        const test::LogCapture log;
        startCore(static_cast<int>(odd), false);
        CPPUNIT_ASSERT(log.text().find("event=state-discarded ") != std::string::npos);
        CPPUNIT_ASSERT(
            runUntil([&] { return log.text().find("event=state-recovered ") != std::string::npos; },
                     catchUpLimit));
        CPPUNIT_ASSERT(!DataFolder::isStateWrong(folder));
        m_cores[(odd + 1) % cores].reset();
        CPPUNIT_ASSERT(isAccepted("last"));
        assertKnowsJobAsLeader(odd);
        // What is stored now leads to the right state.
        m_cores[odd].reset();
        startCore(static_cast<int>(odd), false);
        assertKnowsJobAsLeader(odd);
    }

private:
    /// Restarts a follower, for which the submission of the job "job" is missing in its log.
    /// Returns its number.
    std::size_t restartWithoutJob()
    {
        submit("job", planOf(1));
        until([this] { return isInState("job", "completed"); });
        return restartWith([](PersistentState &state) { removeSubmission(state, "job"); });
    }

    std::size_t restartWith(std::function<void(PersistentState &)> alteration)
    {
        const std::size_t place = (leadingCore() + 1) % cores;
        m_cores[place].reset();
        m_alterStored[place] = std::move(alteration);
        const test::LogCapture log;
        startCore(static_cast<int>(place), false);
        until([&] { return log.text().find("reason=follows-leader") != std::string::npos; });
        m_alterStored[place] = nullptr;
        return place;
    }

    [[nodiscard]] std::size_t leadingCore()
    {
        std::size_t leader = cores;
        until([&] {
            for (std::size_t i = 0; i < m_cores.size(); ++i) {
                if (m_cores[i] && m_cores[i]->node->leads())
                    leader = i;
            }
            return leader < cores;
        });
        return leader;
    }

    /// Transfers the leadership until that control process has it.
    void lead(std::size_t place)
    {
        until([&] {
            const std::size_t leader = leadingCore();
            if (leader != place)
                m_cores[leader]->node->drain();
            return leader == place;
        });
    }

    bool isAccepted(const std::string &job)
    {
        FleetCall call;
        call.kind = CallKind::Submit;
        call.host = "desk.example";
        call.path = "/counter/" + job;
        call.plan = planOf(1);
        return runUntil([&] { return send(call).result == CallResult::Done; }, recoveryLimit);
    }

    /// Checks that all jobs are accepted while the log grows by more than the distance between two
    /// digests, and after it.
    void assertServesThroughADigest()
    {
        constexpr int jobs = 80;
        for (int i = 0; i < jobs; ++i)
            CPPUNIT_ASSERT(isAccepted(fmt::format("more{}", m_submitted++)));
    }

    /// Checks that the control process can lead within the limit, and then knows the job.
    void assertKnowsJobAsLeader(std::size_t place)
    {
        const auto leads = [&] {
            const std::size_t leader = leadingCore();
            if (leader != place)
                m_cores[leader]->node->drain();
            return leader == place && isInState("job", "completed");
        };
        CPPUNIT_ASSERT(runUntil(leads, catchUpLimit));
    }

    int m_submitted = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateDivergenceTest);
