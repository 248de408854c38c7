#include <UnitTests/Fleet/AgentFixture.h>
#include <UnitTests/Support/LogCapture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// The agent of a worker that works on while a report of another lifetime arrives.
class ForeignReportTest : public AgentFixture
{
    CPPUNIT_TEST_SUITE(ForeignReportTest);
    CPPUNIT_TEST(reportOfAnotherWorkerEndsNoLifetime);
    CPPUNIT_TEST(reportOfALaterBirthEndsNoLifetime);
    CPPUNIT_TEST(strangersReportHidesNoWorkerFromTheLeader);
    CPPUNIT_TEST(refusesReportsThatTheWorkerDisproves);
    CPPUNIT_TEST(acknowledgesNoReportThatCannotBeVerified);
    CPPUNIT_TEST(takesTheNextLifetimeWhoseClockWasSetBack);
    CPPUNIT_TEST(believesNoAnswerFromBeforeTheLifetimeThatWasFoundSince);
    CPPUNIT_TEST(proofPrecedesTheEndOfALifetime);
    CPPUNIT_TEST(asksASilentWorkerOnceInEachPause);
    CPPUNIT_TEST(strangersKeepNoNextLifetimeOut);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against runs that are started elsewhere while they work: the report of another
    /// worker, which its own agent did not answer in time, ended the lifetime that they run in.
    void reportOfAnotherWorkerEndsNoLifetime()
    {
        runTask();
        WorkerFacts other = factsOf(2000);
        other.lifetime.worker = "w9";
        m_agent->workerReported({other, 1, {}});
        assertWorksOn();
    }

    /// Guards against the same after a step of the clock: the report names the worker and a birth
    /// after its own.
    void reportOfALaterBirthEndsNoLifetime()
    {
        runTask();
        m_agent->workerReported({factsOf(2000), 1, {}});
        assertWorksOn();
    }

    /// Guards against runs of an earlier process of the agent that are started elsewhere, because
    /// the first report which the new one gets is that of another worker.
    void strangersReportHidesNoWorkerFromTheLeader()
    {
        WorkerFacts other = factsOf(2000);
        other.lifetime.worker = "w9";
        m_agent->workerReported({other, 1, {}});
        until([this] { return !m_leader->all<InterferenceReport>().empty(); });
        runFor(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(m_leader->workers().empty());
    }

    /// Guards against a worker that drains, counts on an acknowledgement by another node's agent
    /// and goes on to get starts from its own.
    void refusesReportsThatTheWorkerDisproves()
    {
        runTask();
        WorkerFacts other = factsOf(2000);
        other.lifetime.worker = "w9";
        other.draining = true;
        std::optional<ReportAnswer> answer;
        m_agent->workerReported({other, 1, {}}, [&](ReportAnswer given) { answer = given; });
        CPPUNIT_ASSERT(!answer);
        WorkerReply refusal;
        refusal.result = WorkerCallResult::OtherLifetime;
        verification().answer(refusal);
        CPPUNIT_ASSERT(ReportAnswer::NotOurs == answer);
        CPPUNIT_ASSERT(ReportAnswer::NotOurs == m_agent->workerStopping("w9"));
        assertWorksOn();
    }

    /// Guards against the same while the worker's address does not answer.
    void acknowledgesNoReportThatCannotBeVerified()
    {
        runTask();
        test::LogCapture log;
        std::optional<ReportAnswer> answer;
        m_agent->workerReported({factsOf(2000), 1, {}},
                                [&](ReportAnswer given) { answer = given; });
        WorkerReply none;
        none.result = WorkerCallResult::ConnectionRefused;
        verification().answer(none);
        until([&] { return answer.has_value(); });
        CPPUNIT_ASSERT(ReportAnswer::Unverified == answer);
        CPPUNIT_ASSERT(log.text().find("event=report-unverified") != std::string::npos);
        // It is asked again, and found once it answers.
        until([this] { return m_worker.probes().back().callback != nullptr; });
        confirm(factsOf(2000));
        until([this] { return m_leader->workers().size() == 2; });
        CPPUNIT_ASSERT(m_leader->workers().back() == factsOf(2000));
    }

    /// Guards against a worker that gets no work after the time of day was set back: its birth is
    /// before that of the lifetime before.
    void takesTheNextLifetimeWhoseClockWasSetBack()
    {
        runTask();
        std::optional<ReportAnswer> answer;
        m_agent->workerReported({factsOf(500), 1, {}}, [&](ReportAnswer given) { answer = given; });
        confirm(factsOf(500));
        CPPUNIT_ASSERT(ReportAnswer::Taken == answer);
        until([this] { return m_leader->workers().size() == 2; });
        CPPUNIT_ASSERT(m_leader->workers().back() == factsOf(500));
        CPPUNIT_ASSERT(factsOf(1000).lifetime == m_leader->all<LifetimeEnded>().back().lifetime);
        // A late report of the earlier one changes nothing.
        m_agent->workerReported({factsOf(1000), 9, {}},
                                [&](ReportAnswer given) { answer = given; });
        confirm(factsOf(500));
        CPPUNIT_ASSERT(ReportAnswer::NotOurs == answer);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_leader->all<LifetimeEnded>().size());
    }

    /// Guards against a lifetime that ends because of an answer which is older than it.
    void believesNoAnswerFromBeforeTheLifetimeThatWasFoundSince()
    {
        runTask();
        m_agent->workerReported({factsOf(2000), 1, {}});
        const std::size_t late = m_worker.probes().size() - 1;
        m_agent->workerReported({factsOf(3000), 1, {}});
        m_worker.probes().back().answer(replyOf(3000));
        m_worker.probes()[late].answer(replyOf(2000));
        CPPUNIT_ASSERT(m_worker.probes().size() > late + 2);
        m_worker.probes().back().answer(replyOf(3000));
        until([this] { return m_leader->workers().size() == 2; });
        runFor(std::chrono::milliseconds(20));
        CPPUNIT_ASSERT(m_leader->workers().back() == factsOf(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_leader->all<LifetimeEnded>().size());
    }

    /// Guards against a leader that must settle runs without a proof.
    void proofPrecedesTheEndOfALifetime()
    {
        runTask();
        report(factsOf(2000));
        until([this] { return m_leader->workers().size() == 2; });
        const auto place = [this](const auto &isWanted) {
            const std::vector<FleetMessage> &all = m_leader->messages();
            return std::find_if(all.begin(), all.end(), isWanted) - all.begin();
        };
        const auto proof = place([](const FleetMessage &each) {
            const auto *proven = std::get_if<EndProven>(&each);
            return proven != nullptr && proven->lifetime == factsOf(1000).lifetime
                && proven->proof == LifetimeProof::AnsweredByNext;
        });
        const auto crash = place(
            [](const FleetMessage &each) { return std::get_if<WorkerCrashed>(&each) != nullptr; });
        const auto end = place(
            [](const FleetMessage &each) { return std::get_if<LifetimeEnded>(&each) != nullptr; });
        const auto answered = place([](const FleetMessage &each) {
            const auto *message = std::get_if<LifetimeAnswered>(&each);
            return message != nullptr && message->lifetime == factsOf(2000).lifetime;
        });
        CPPUNIT_ASSERT(proof < crash && crash < end && end < answered);
        CPPUNIT_ASSERT(answered < static_cast<std::ptrdiff_t>(m_leader->messages().size()));
    }

    /// Guards against calls that grow with the number of reports while the worker is silent.
    void asksASilentWorkerOnceInEachPause()
    {
        constexpr int reports = 50;
        const Duration pause = ReportVerifierSettings{}.retryPause;
        runTask();
        const Instant first = BootClock::now();
        std::size_t answers = 0;
        WorkerReply none;
        none.result = WorkerCallResult::ConnectionRefused;
        for (int i = 1; i <= reports; ++i) {
            m_agent->workerReported({factsOf(2000), static_cast<std::uint64_t>(i), {}},
                                    [&](ReportAnswer) { ++answers; });
            verification().answer(none);
            runFor(std::chrono::milliseconds(10));
        }
        const auto probes = static_cast<std::size_t>(
            std::count_if(m_worker.probes().begin(), m_worker.probes().end(),
                          [](const auto &each) { return each.request.onNewConnection; }));
        CPPUNIT_ASSERT(probes <= static_cast<std::size_t>((BootClock::now() - first) / pause) + 2);
        until([&] { return answers == reports; });
    }

    /// Guards against a worker whose next lifetime is not taken in while strangers report.
    void strangersKeepNoNextLifetimeOut()
    {
        runTask();
        for (std::size_t i = 0; i < 2 * ReportVerifierSettings{}.mostLifetimes; ++i)
            m_agent->workerReported({factsOf(3000 + static_cast<std::int64_t>(i)), 1, {}});
        std::optional<ReportAnswer> answer;
        m_agent->workerReported({factsOf(2000), 1, {}},
                                [&](ReportAnswer given) { answer = given; });
        CPPUNIT_ASSERT(!answer);
        verification().answer(replyOf(2000));
        CPPUNIT_ASSERT(ReportAnswer::Taken == answer);
    }

private:
    /// The last probe that verifies a report.
    HeldWorker::Call<ProbeRequest> &verification()
    {
        auto &probes = m_worker.probes();
        const auto found = std::find_if(probes.rbegin(), probes.rend(), [](const auto &each) {
            return each.request.onNewConnection;
        });
        CPPUNIT_ASSERT(found != probes.rend());
        return *found;
    }

    /// Has the worker run the task in the lifetime that began at 1000.
    void runTask()
    {
        startOn(factsOf(1000));
        m_worker.starts().back().answer(replyOf(1000));
        until([this] { return m_leader->all<Inventory>().size() == 1; });
    }

    /// Asserts that the agent neither reports an end of that lifetime nor stops polling it.
    void assertWorksOn()
    {
        constexpr std::size_t more = 4;
        const std::size_t before = m_worker.polls().size();
        until([&] {
            WorkerReply reply = replyOf(1000);
            RunStatus row;
            row.task = task;
            row.run = 1;
            reply.running = {row};
            m_worker.answerPolls(reply);
            CPPUNIT_ASSERT(m_leader->all<LifetimeEnded>().empty());
            CPPUNIT_ASSERT(m_leader->all<WorkerCrashed>().empty());
            return m_worker.polls().size() >= before + more;
        });
        for (std::size_t i = before; i < m_worker.polls().size(); ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("w1"), m_worker.polls()[i].request.worker);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_leader->workers().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForeignReportTest);
