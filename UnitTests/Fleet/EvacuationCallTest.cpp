#include <UnitTests/Fleet/FleetFixture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// Operators' calls that evacuate a failure domain or take it back, at control processes that run
/// in the test's thread. The worker w0 is in "north", w1 in "south".
class EvacuationCallTest : public FleetFixture
{
    CPPUNIT_TEST_SUITE(EvacuationCallTest);
    CPPUNIT_TEST(acknowledgesOnlyWhatIsCommitted);
    CPPUNIT_TEST(startsNothingThereOnceAcknowledged);
    CPPUNIT_TEST(takesADomainWithoutWorkers);
    CPPUNIT_TEST(refusesNamesThatNoDomainCanHave);
    CPPUNIT_TEST(answersAResendAtAnotherNode);
    CPPUNIT_TEST(lossOfLeadershipIsNoAcknowledgement);
    CPPUNIT_TEST(survivesTheLeaderThatAcknowledged);
    CPPUNIT_TEST(survivesARestartOfAllControlProcesses);
    CPPUNIT_TEST(acknowledgesBothOfTwoRacingOperators);
    CPPUNIT_TEST(runsElsewhereWhatGotNoAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        FleetFixture::setUp();
        m_sequence = 1;
        m_answers.clear();
        setZones();
    }

    /// The leader cannot commit while only its own loop runs.
    void acknowledgesOnlyWhatIsCommitted()
    {
        Hosted<CoreNode> &node = leader();
        sendTo(node, CallKind::Evacuate, "north");
        for (int i = 0; i < 20; ++i)
            node.loop.runOnce(std::chrono::milliseconds(1));
        CPPUNIT_ASSERT(m_answers.empty());
        until([&] { return m_answers.size() == 1; });
        CPPUNIT_ASSERT(CallResult::Done == m_answers[0].result);
        CPPUNIT_ASSERT(exposes("guavashift_fleet_evacuated 1"));
    }

    void startsNothingThereOnceAcknowledged()
    {
        change(CallKind::Evacuate, "north");
        submitWhenPossible("j", planOf(6));
        until([&] { return stateOf("j") == "completed"; });
        CPPUNIT_ASSERT(m_workers[0]->starts().empty());
        // Both take part again.
        change(CallKind::TakeBack, "north");
        submitWhenPossible("k", planOf(6));
        until([&] { return stateOf("k") == "completed"; });
        CPPUNIT_ASSERT(!m_workers[0]->starts().empty());
    }

    void takesADomainWithoutWorkers()
    {
        change(CallKind::Evacuate, "west");
        // Its workers come later.
        m_workers[0]->setZone("west");
        reportFacts(0);
        submitWhenPossible("j", planOf(4));
        until([&] { return stateOf("j") == "completed"; });
        CPPUNIT_ASSERT(m_workers[0]->starts().empty());
    }

    void refusesNamesThatNoDomainCanHave()
    {
        for (const std::string &name : {std::string(), std::string("a/b"), std::string(200, 'x')}) {
            for (const CallKind kind : {CallKind::Evacuate, CallKind::TakeBack}) {
                FleetAnswer answer;
                // On a busy machine the leader may lose contact for a moment.
                until([&] {
                    answer = changeOnce(kind, name);
                    return answer.result != CallResult::Unavailable;
                });
                CPPUNIT_ASSERT(CallResult::Invalid == answer.result);
                CPPUNIT_ASSERT(!answer.text.empty());
            }
        }
    }

    /// The answer was lost on its way.
    void answersAResendAtAnotherNode()
    {
        change(CallKind::Evacuate, "north");
        // A follower forwards calls once it knows the leader.
        for (auto &core : m_cores) {
            until([&] {
                return callAt(*core, CallKind::Evacuate, "north").result == CallResult::Done;
            });
        }
        change(CallKind::TakeBack, "north");
        change(CallKind::TakeBack, "north");
        // One that was never evacuated.
        change(CallKind::TakeBack, "south");
    }

    /// The leader dies between the proposal and the answer.
    void lossOfLeadershipIsNoAcknowledgement()
    {
        Hosted<CoreNode> &node = leader();
        sendTo(node, CallKind::Evacuate, "north");
        const Instant deadline = BootClock::now() + std::chrono::seconds(30);
        while (m_answers.empty() && BootClock::now() < deadline)
            node.loop.runOnce(std::chrono::milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_answers.size());
        CPPUNIT_ASSERT(CallResult::Unknown == m_answers[0].result);
        // Sent again, it is acknowledged, whether or not the first had taken effect.
        change(CallKind::Evacuate, "north");
        submitWhenPossible("j", planOf(4));
        until([&] { return stateOf("j") == "completed"; });
        CPPUNIT_ASSERT(m_workers[0]->starts().empty());
    }

    /// The leader dies between the acknowledgement and the next start.
    void survivesTheLeaderThatAcknowledged()
    {
        change(CallKind::Evacuate, "north");
        for (auto &core : m_cores) {
            if (core && core->node->leads()) {
                core.reset();
                break;
            }
        }
        submitWhenPossible("j", planOf(4));
        until([&] { return stateOf("j") == "completed"; });
        CPPUNIT_ASSERT(m_workers[0]->starts().empty());
        CPPUNIT_ASSERT(!m_workers[1]->starts().empty());
    }

    void survivesARestartOfAllControlProcesses()
    {
        change(CallKind::Evacuate, "north");
        for (auto &core : m_cores)
            core.reset();
        for (int i = 0; i < cores; ++i)
            startCore(i, false);
        submitWhenPossible("j", planOf(4));
        until([&] { return stateOf("j") == "completed"; });
        CPPUNIT_ASSERT(m_workers[0]->starts().empty());
        CPPUNIT_ASSERT(!m_workers[1]->starts().empty());
    }

    /// Both were carried out; the one that was committed last holds on.
    void acknowledgesBothOfTwoRacingOperators()
    {
        Hosted<CoreNode> &node = leader();
        sendTo(node, CallKind::Evacuate, "north");
        sendTo(node, CallKind::TakeBack, "north");
        sendTo(node, CallKind::Evacuate, "south");
        sendTo(node, CallKind::Evacuate, "south");
        until([&] { return m_answers.size() == 4; });
        for (const FleetAnswer &answer : m_answers)
            CPPUNIT_ASSERT(CallResult::Done == answer.result);
        submitWhenPossible("j", planOf(4));
        until([&] { return stateOf("j") == "completed"; });
        CPPUNIT_ASSERT(!m_workers[0]->starts().empty());
        CPPUNIT_ASSERT(m_workers[1]->starts().empty());
    }

    /// The worker has answered none of the starts when its domain is evacuated.
    void runsElsewhereWhatGotNoAnswer()
    {
        change(CallKind::Evacuate, "south");
        m_workers[0]->dropStarts(1'000'000);
        submitWhenPossible("j", planOf(4));
        runUntil([] { return false; }, std::chrono::milliseconds(300));
        change(CallKind::Evacuate, "north");
        m_workers[0]->dropStarts(0);
        change(CallKind::TakeBack, "south");
        until([&] { return stateOf("j") == "completed"; });
        CPPUNIT_ASSERT(m_workers[0]->starts().empty());
        CPPUNIT_ASSERT_EQUAL(4, totalStarts());
    }

private:
    void reportFacts(std::size_t number)
    {
        m_agents[number]->node->workerReported({m_workers[number]->facts(), ++m_sequence, {}},
                                               [](ReportAnswer) {});
    }

    void setZones()
    {
        m_workers[0]->setZone("north");
        m_workers[1]->setZone("south");
        // Until the agent has found its worker, the report is still being verified.
        until([&] { return haveSessions(); });
        reportFacts(0);
        reportFacts(1);
        runUntil([] { return false; }, std::chrono::milliseconds(200));
    }

    /// Whether both workers take tasks.
    bool haveSessions() { return m_workers[0]->polls() > 0 && m_workers[1]->polls() > 0; }

    Hosted<CoreNode> &leader()
    {
        Hosted<CoreNode> *found = nullptr;
        until([&] {
            for (auto &core : m_cores) {
                if (core && core->node->leads())
                    found = core.get();
            }
            return found != nullptr;
        });
        return *found;
    }

    static FleetCall callOf(CallKind kind, const std::string &domain)
    {
        FleetCall call;
        call.kind = kind;
        call.document = domain;
        return call;
    }

    void sendTo(Hosted<CoreNode> &node, CallKind kind, const std::string &domain)
    {
        node.node->call(callOf(kind, domain), std::chrono::seconds(2),
                        [this](const FleetAnswer &answer) { m_answers.push_back(answer); });
    }

    FleetAnswer callAt(Hosted<CoreNode> &node, CallKind kind, const std::string &domain)
    {
        const auto answer = std::make_shared<std::optional<FleetAnswer>>();
        node.node->call(callOf(kind, domain), std::chrono::seconds(2),
                        [answer](const FleetAnswer &result) { *answer = result; });
        until([&] { return answer->has_value(); });
        return **answer;
    }

    FleetAnswer changeOnce(CallKind kind, const std::string &domain)
    {
        return callAt(leader(), kind, domain);
    }

    /// Sends the call as operators do, until it is acknowledged.
    void change(CallKind kind, const std::string &domain)
    {
        until([&] { return changeOnce(kind, domain).result == CallResult::Done; });
    }

    /// A busy machine may leave the leader without contact for a moment.
    void submitWhenPossible(const std::string &job, const JobPlan &plan)
    {
        FleetCall call;
        call.kind = CallKind::Submit;
        call.host = "desk.example";
        call.path = "/counter/" + job;
        call.plan = plan;
        until([&] { return send(call).result == CallResult::Done; });
    }

    bool exposes(std::string_view line)
    {
        return m_metrics.exposition().find(line) != std::string::npos;
    }

    std::uint64_t m_sequence = 1;
    std::vector<FleetAnswer> m_answers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationCallTest);
