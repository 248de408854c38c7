#include <Guavashift/State/State.h>
#include <UnitTests/Support/Golden.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

/// Applies commands and records each with its outcome.
class Session final
{
public:
    void run(WallMs time, const CommandBody &command)
    {
        const Outcome outcome = m_state.apply(time, command);
        m_transcript += fmt::format("{} {}\n  -> {}\n", time, variantToJson(command).dump(),
                                    variantToJson(outcome).dump());
    }

    [[nodiscard]] const std::string &transcript() const { return m_transcript; }
    [[nodiscard]] const StateMachine &state() const { return m_state; }

private:
    StateMachine m_state;
    std::string m_transcript;
};

Json basicDocument()
{
    return {{"teams", {{"makers", {{"quota", {{"milliCores", 8'000}, {"memoryMb", 8'000}}}}}}}};
}

AnnounceWorker worker(const std::string &name, const std::string &boot = "boot")
{
    WorkerFacts facts;
    facts.incarnation.value = name + "-agent";
    facts.bootId = boot;
    facts.capacity = {4'000, 4'000, 0};
    return {WorkerId{name}, facts};
}

JobSpec job(const std::string &id, std::int64_t milliCores = 1'000)
{
    return {TeamId{"makers"}, id, "plan", 1, {milliCores, 100, 0}, false, 0, 0, 1'000};
}

StartAttempt start(const std::string &task, const std::string &name, std::int64_t cores = 1'000)
{
    return {TaskId{task}, WorkerId{name}, Incarnation{name + "-agent"}, {cores, 100, 0}};
}

ReportAttempt report(const std::string &task, Attempt attempt, const std::string &name,
                     AttemptEvent event, std::int64_t doneMs = 0)
{
    return {TaskId{task}, attempt, WorkerId{name}, event, "done=" + std::to_string(doneMs), doneMs};
}

} // namespace

/// Compares whole sessions with the state machine to golden files.
class StateSessionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StateSessionTest);
    CPPUNIT_TEST(racesOfOperators);
    CPPUNIT_TEST(evictionAndResume);
    CPPUNIT_TEST(workerLoss);
    CPPUNIT_TEST(failingWorker);
    CPPUNIT_TEST(cancelBurst);
    CPPUNIT_TEST(infeasibleJob);
    CPPUNIT_TEST(claims);
    CPPUNIT_TEST_SUITE_END();

public:
    void racesOfOperators()
    {
        Session session;
        const auto patch = [](const char *who, const char *id, ConfigVersion base, Json document) {
            return SubmitPatch{{who, id, base, std::move(document)}};
        };
        session.run(1, patch("ann", "p1", 0, basicDocument()));
        session.run(2, patch("ben", "p2", 0, {{"limits", {{"queueLength", 5}}}}));
        session.run(3, patch("ann", "p1", 0, basicDocument()));
        session.run(4, patch("ann", "p1", 0, {{"limits", {{"queueLength", 6}}}}));
        session.run(5, patch("ben", "p3", 1, {{"limits", {{"queueLength", -1}}}, {"extra", 1}}));
        session.run(6, patch("ben", "p4", 1, {{"limits", {{"queueLength", 7}}}}));
        session.run(7, patch("ben", "p4", 1, {{"limits", {{"queueLength", 7}}}}));
        session.run(8, patch("ann", "p5", 9, Json::object()));
        check(session, "races-of-operators.txt");
    }

    void evictionAndResume()
    {
        Session session;
        prepare(session);
        session.run(10, SubmitJob{job("cut")});
        session.run(11, start("makers/cut/0", "w1"));
        session.run(12, report("makers/cut/0", 1, "w1", AttemptEvent::Started));
        session.run(13, EvictAttempt{TaskId{"makers/cut/0"}, 1});
        session.run(14, start("makers/cut/0", "w2"));
        session.run(15, report("makers/cut/0", 1, "w1", AttemptEvent::Stopped, 400));
        session.run(16, start("makers/cut/0", "w2"));
        session.run(17, start("makers/cut/0", "w1"));
        session.run(18, report("makers/cut/0", 1, "w1", AttemptEvent::Completed, 1'000));
        session.run(19, report("makers/cut/0", 2, "w2", AttemptEvent::Completed, 1'000));
        session.run(20, report("makers/cut/0", 2, "w2", AttemptEvent::Completed, 1'000));
        check(session, "eviction-and-resume.txt");
    }

    void workerLoss()
    {
        Session session;
        prepare(session);
        session.run(10, SubmitJob{job("cut")});
        session.run(11, start("makers/cut/0", "w1"));
        session.run(12, DeclareWorkerLost{WorkerId{"w1"}, Incarnation{"w1-agent"}});
        session.run(13, report("makers/cut/0", 1, "w1", AttemptEvent::Completed));
        session.run(14, start("makers/cut/0", "w1"));
        session.run(15, start("makers/cut/0", "w2"));
        session.run(16, worker("w1"));
        session.run(17, report("makers/cut/0", 1, "w1", AttemptEvent::Completed));
        session.run(18, worker("w2", "boot2"));
        session.run(19, start("makers/cut/0", "w1"));
        check(session, "worker-loss.txt");
    }

    void failingWorker()
    {
        Session session;
        prepare(session);
        for (int i = 0; i < 3; ++i) {
            const std::string id = "cut" + std::to_string(i);
            const std::string task = "makers/" + id + "/0";
            session.run(10 + i, SubmitJob{job(id)});
            session.run(20 + i, start(task, "w1"));
            session.run(30 + i, report(task, 1, "w1", AttemptEvent::Failed));
        }
        session.run(40, start("makers/cut0/0", "w1"));
        session.run(41, start("makers/cut0/0", "w2"));
        session.run(70'000, SubmitJob{job("cut9")});
        session.run(70'001, start("makers/cut9/0", "w1"));
        session.run(70'002, report("makers/cut9/0", 1, "w1", AttemptEvent::Failed));
        session.run(70'003, start("makers/cut9/0", "w1"));
        check(session, "failing-worker.txt");
    }

    void cancelBurst()
    {
        Session session;
        prepare(session);
        std::vector<std::string> ids;
        for (int i = 0; i < 5; ++i) {
            ids.push_back("cut" + std::to_string(i));
            session.run(10, SubmitJob{job(ids.back())});
        }
        session.run(11, start("makers/cut0/0", "w1"));
        session.run(12, CancelJobs{TeamId{"makers"}, {"cut0", "cut1", "cut2", "nothing"}});
        session.run(13, CancelJobs{TeamId{"makers"}, {"cut0", "cut1"}});
        session.run(14, report("makers/cut0/0", 1, "w1", AttemptEvent::Completed, 1'000));
        session.run(15, SubmitJob{job("cut1")});
        check(session, "cancel-burst.txt");
    }

    void infeasibleJob()
    {
        Session session;
        prepare(session);
        session.run(10, SubmitJob{job("huge", 6'000)});
        session.run(11, SubmitJob{job("beyond-quota", 9'000)});
        session.run(12, SubmitJob{{TeamId{"nobody"}, "bad id", "", 0, {}, false, 10, 5, -1}});
        session.run(13, start("makers/huge/0", "w1", 6'000));
        check(session, "infeasible-job.txt");
    }

    void claims()
    {
        Session session;
        prepare(session);
        Claim claim{ServiceId{"orders"},     "key", 7, RequestId{"r1"}, WorkerId{"w1"},
                    Incarnation{"w1-agent"}, 3,     0};
        session.run(10, ClaimKey{claim});
        claim.requestId.value = "r2";
        claim.worker.value = "w2";
        session.run(11, ClaimKey{claim});
        claim.requestHash = 8;
        session.run(12, ClaimKey{claim});
        claim.requestHash = 7;
        session.run(13, MoveClaim{RequestId{"r0"}, claim});
        session.run(14, MoveClaim{RequestId{"r1"}, claim});
        session.run(15, MoveClaim{RequestId{"r1"}, claim});
        claim.requestId.value = "r3";
        session.run(600'010, ClaimKey{claim});
        check(session, "claims.txt");
    }

private:
    static void prepare(Session &session)
    {
        session.run(1, SubmitPatch{{"ann", "p1", 0, basicDocument()}});
        session.run(2, worker("w1"));
        session.run(3, worker("w2"));
    }

    static void check(const Session &session, const std::string &name)
    {
        CPPUNIT_ASSERT(session.state().checkInvariants().empty());
        CPPUNIT_ASSERT_EQUAL(std::string(), compareWithGolden(name, session.transcript()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateSessionTest);
