#include <Guavashift/Agent/Agent.h>
#include <Guavashift/Routing/Routing.h>

#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <rapidcheck.h>

using namespace guavashift;

namespace {

const ServiceId orders{"orders"};

RequestGateSettings smallGate()
{
    RequestGateSettings settings;
    settings.windowLength = std::chrono::seconds(1);
    settings.unkeyedWindows = 3;
    settings.keyedWindows = 20;
    settings.maxRemembered = 50;
    settings.maxWaiting = 3;
    settings.maxAnswerBytes = 40;
    return settings;
}

/// Outcome of one request id, as observed from outside the gate.
struct ObservedRequest
{
    int runs = 0;
    bool reportedNotRun = false;
    bool keyed = false;
};

/// Simulates entries and a network that loses, duplicates and delays requests to one agent, which
/// restarts at times.
class GateSimulation final
{
public:
    GateSimulation(const RequestGateSettings &settings, std::uint64_t seed)
        : m_settings(settings)
        , m_random(seed)
    {
        restart();
    }

    /// Runs the steps and returns the violations of the rules.
    std::vector<std::string> run(int steps)
    {
        for (int i = 0; i < steps; ++i)
            step();
        std::vector<std::string> violations;
        for (const auto &[id, request] : m_observed) {
            if (request.runs > 1)
                violations.push_back(id + " ran twice");
            if (request.runs > 0 && request.reportedNotRun)
                violations.push_back(id + " was reported as not run, but ran");
        }
        return violations;
    }

private:
    std::size_t below(std::size_t limit) { return m_random() % limit; }

    void restart()
    {
        m_gate.emplace(m_settings, Incarnation{"i" + std::to_string(++m_incarnation)}, m_now);
        const std::vector<BackendServer> backends{{orders, TaskId{"b1"}, 2, false}};
        m_gate->updateBackends(backends);
        m_running.clear();
    }

    /// A planned stop: the agent reports what may have run, and the rest counts as not run.
    void stopAsPlanned()
    {
        constexpr int copies = 10;
        m_gate->startLeaving();
        const auto copiesArrive = [this] {
            for (int i = 0; i < copies; ++i) {
                sendCopy();
                finish();
            }
        };
        copiesArrive();
        const std::vector<RequestId> list = m_gate->acceptedKeyedRequests();
        const std::set<RequestId> accepted(list.begin(), list.end());
        for (const DispatchedRequest &dispatch : m_sent) {
            if (dispatch.keyed && dispatch.incarnation == m_gate->incarnation()
                && dispatch.window >= m_gate->oldestWindow(true) && !accepted.contains(dispatch.id))
                m_observed[dispatch.id.value].reportedNotRun = true;
        }
        copiesArrive();
    }

    void step()
    {
        m_now += std::chrono::milliseconds(below(300));
        m_gate->advance(m_now);
        const std::size_t kind = below(40);
        if (kind == 0) {
            if (below(2) == 0)
                stopAsPlanned();
            restart();
        } else if (kind < 12)
            sendNewRequest();
        else if (kind < 24)
            sendCopy();
        else if (kind < 30)
            revoke();
        else
            finish();
    }

    void sendNewRequest()
    {
        DispatchedRequest dispatch;
        dispatch.id.value = "r" + std::to_string(m_nextId++);
        dispatch.incarnation = m_gate->incarnation();
        dispatch.window = m_gate->window();
        dispatch.service = orders;
        dispatch.keyed = below(2) == 0;
        m_observed[dispatch.id.value].keyed = dispatch.keyed;
        m_sent.push_back(dispatch);
        // One in four is lost, or arrives later as a copy.
        if (below(4) != 0)
            arrive(dispatch);
    }

    void sendCopy()
    {
        if (!m_sent.empty())
            arrive(m_sent[m_sent.size() - 1 - below(std::min<std::size_t>(m_sent.size(), 60))]);
    }

    void arrive(const DispatchedRequest &dispatch)
    {
        ObservedRequest &observed = m_observed[dispatch.id.value];
        std::visit(Overloaded{[&](const RunRequest &) {
                                  ++observed.runs;
                                  m_running.push_back(dispatch.id);
                              },
                              [&](const RefuseRequest &refusal) {
                                  observed.reportedNotRun =
                                      observed.reportedNotRun || refusal.certainlyNotRun;
                              },
                              [](const auto &) {}},
                   m_gate->arrive(dispatch));
    }

    void revoke()
    {
        if (m_sent.empty())
            return;
        const DispatchedRequest &dispatch =
            m_sent[m_sent.size() - 1 - below(std::min<std::size_t>(m_sent.size(), 60))];
        const RevokeOutcome outcome =
            m_gate->revoke({dispatch.id, dispatch.incarnation, dispatch.window, dispatch.keyed});
        ObservedRequest &observed = m_observed[dispatch.id.value];
        observed.reportedNotRun = observed.reportedNotRun || outcome == RevokeOutcome::Revoked;
    }

    void finish()
    {
        if (m_running.empty())
            return;
        const std::size_t index = below(m_running.size());
        const RequestId id = m_running[index];
        m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(index));
        RunEnd end;
        if (below(3) != 0)
            end.answer = std::make_shared<HttpResponse>(HttpResponse::text(200, id.value));
        for (const SlotGranted &granted : m_gate->finish(id, end)) {
            ++m_observed[granted.id.value].runs;
            m_running.push_back(granted.id);
        }
    }

    RequestGateSettings m_settings;
    std::mt19937_64 m_random;
    Instant m_now = Instant(std::chrono::seconds(100));
    std::optional<RequestGate> m_gate;
    int m_incarnation = 0;
    std::uint64_t m_nextId = 1;
    std::vector<DispatchedRequest> m_sent;
    std::vector<RequestId> m_running;
    std::map<std::string, ObservedRequest> m_observed;
};

std::size_t countFailedSimulations(const RequestGateSettings &settings)
{
    std::size_t failed = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed)
        failed += GateSimulation(settings, seed).run(1500).empty() ? 0 : 1;
    return failed;
}

} // namespace

/// Checks that no request id runs twice, and that none that runs is reported as not run.
class RequestGateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestGateTest);
    CPPUNIT_TEST(runsAtMostOnceAndReportsNotRunCorrectly);
    CPPUNIT_TEST(failsWithoutIncarnationCheck);
    CPPUNIT_TEST(failsWithoutWindowCheck);
    CPPUNIT_TEST(runsTwiceWithoutRememberedRequests);
    CPPUNIT_TEST(limitsSlotsAndQueue);
    CPPUNIT_TEST(limitsRememberedRequests);
    CPPUNIT_TEST(namesTheNewestAnswersToHandOver);
    CPPUNIT_TEST(namesAllRequestsThatMayHaveRun);
    CPPUNIT_TEST(refusesNewRequestsWhileLeaving);
    CPPUNIT_TEST(joinsRunningRequestsWithoutTheLease);
    CPPUNIT_TEST(repeatsKeptAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    void runsAtMostOnceAndReportsNotRunCorrectly()
    {
        CPPUNIT_ASSERT(rc::check("runs at most once and reports not-run correctly", [] {
            GateSimulation simulation(smallGate(), *rc::gen::arbitrary<std::uint64_t>());
            const std::vector<std::string> violations = simulation.run(*rc::gen::inRange(1, 3000));
            for (const std::string &each : violations)
                RC_LOG() << each << "\n";
            RC_ASSERT(violations.empty());
        }));
    }

    void failsWithoutIncarnationCheck()
    {
        RequestGateSettings settings = smallGate();
        settings.checkIncarnation = false;
        CPPUNIT_ASSERT(countFailedSimulations(settings) > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countFailedSimulations(smallGate()));
    }

    void failsWithoutWindowCheck()
    {
        RequestGateSettings settings = smallGate();
        settings.checkWindow = false;
        CPPUNIT_ASSERT(countFailedSimulations(settings) > 0);
    }

    void runsTwiceWithoutRememberedRequests()
    {
        RequestGateSettings settings = smallGate();
        settings.rememberRequests = false;
        settings.maxWaiting = 0;
        RequestGate gate(settings, Incarnation{"i"}, Instant());
        announce(gate, 1);
        const DispatchedRequest dispatch = dispatchOf("r1");
        CPPUNIT_ASSERT(std::holds_alternative<RunRequest>(gate.arrive(dispatch)));
        (void)gate.finish(dispatch.id, {});
        CPPUNIT_ASSERT(std::holds_alternative<RunRequest>(gate.arrive(dispatch)));
    }

    void limitsSlotsAndQueue()
    {
        RequestGate gate(smallGate(), Incarnation{"i"}, Instant());
        announce(gate, 2);
        CPPUNIT_ASSERT(std::holds_alternative<RunRequest>(gate.arrive(dispatchOf("r1"))));
        CPPUNIT_ASSERT(std::holds_alternative<RunRequest>(gate.arrive(dispatchOf("r2"))));
        for (const char *id : {"r3", "r4", "r5"})
            CPPUNIT_ASSERT(std::holds_alternative<WaitForSlot>(gate.arrive(dispatchOf(id))));
        const RequestDecision decision = gate.arrive(dispatchOf("r6"));
        CPPUNIT_ASSERT(std::get<RefuseRequest>(decision).reason == RefusalReason::Full);
        CPPUNIT_ASSERT(gate.withdraw(RequestId{"r3"}));
        const std::vector<SlotGranted> granted = gate.finish(RequestId{"r1"}, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), granted.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r4"), granted[0].id.value);
    }

    void limitsRememberedRequests()
    {
        RequestGate gate(smallGate(), Incarnation{"i"}, Instant());
        announce(gate, 8);
        Instant now;
        std::size_t most = 0;
        for (int i = 0; i < 5000; ++i) {
            now += std::chrono::milliseconds(10);
            gate.advance(now);
            DispatchedRequest dispatch = dispatchOf("r" + std::to_string(i));
            dispatch.window = gate.window();
            dispatch.keyed = i % 2 == 0;
            if (std::holds_alternative<RunRequest>(gate.arrive(dispatch)))
                (void)gate.finish(dispatch.id, {});
            most = std::max(most, gate.remembered());
        }
        // The newest windows are kept above the limit of 50 ids; here each has 100.
        CPPUNIT_ASSERT(most <= 50 + 3 * 100);
    }

    void namesTheNewestAnswersToHandOver()
    {
        RequestGate gate(smallGate(), Incarnation{"i"}, Instant());
        announce(gate, 4);
        for (const char *id : {"r1", "r2", "r3"}) {
            DispatchedRequest dispatch = dispatchOf(id);
            dispatch.keyed = std::string_view(id) != "r2";
            CPPUNIT_ASSERT(std::holds_alternative<RunRequest>(gate.arrive(dispatch)));
            const HttpResponse answer = HttpResponse::text(200, "four");
            (void)gate.finish(dispatch.id, {false, std::make_shared<HttpResponse>(answer)});
        }
        const auto all = gate.newestAnswers(8);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), all.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r3"), all[0].first.value);
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), all[1].first.value);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), gate.newestAnswers(7).size());
    }

    /// Guards against claims that move elsewhere although their requests ran or still run here.
    void namesAllRequestsThatMayHaveRun()
    {
        RequestGate gate(smallGate(), Incarnation{"i"}, Instant());
        announce(gate, 2);
        DispatchedRequest dispatch;
        for (const char *id : {"done", "running", "waiting", "withdrawn", "revoked"}) {
            dispatch = dispatchOf(id);
            dispatch.keyed = true;
            if (dispatch.id.value == "revoked")
                (void)gate.revoke({dispatch.id, dispatch.incarnation, dispatch.window, true});
            (void)gate.arrive(dispatch);
            if (dispatch.id.value == "done")
                (void)gate.finish(dispatch.id, {false, nullptr});
            else if (dispatch.id.value == "running")
                announce(gate, 1);
        }
        CPPUNIT_ASSERT(gate.withdraw(RequestId{"withdrawn"}));
        std::vector<RequestId> accepted = gate.acceptedKeyedRequests();
        std::sort(accepted.begin(), accepted.end());
        const std::vector<RequestId> expected{RequestId{"done"}, RequestId{"running"},
                                              RequestId{"waiting"}};
        CPPUNIT_ASSERT(expected == accepted);
    }

    void refusesNewRequestsWhileLeaving()
    {
        RequestGate gate(smallGate(), Incarnation{"i"}, Instant());
        announce(gate, 2);
        CPPUNIT_ASSERT(std::holds_alternative<RunRequest>(gate.arrive(dispatchOf("r1"))));
        gate.startLeaving();
        const auto refusal = std::get<RefuseRequest>(gate.arrive(dispatchOf("r2")));
        CPPUNIT_ASSERT(refusal.reason == RefusalReason::Leaving && refusal.certainlyNotRun);
        CPPUNIT_ASSERT(std::holds_alternative<JoinRunning>(gate.arrive(dispatchOf("r1"))));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), gate.inFlight());
    }

    void joinsRunningRequestsWithoutTheLease()
    {
        RequestGate gate(smallGate(), Incarnation{"i"}, Instant());
        announce(gate, 2);
        CPPUNIT_ASSERT(std::holds_alternative<RunRequest>(gate.arrive(dispatchOf("r1"))));
        gate.setLeaseHeld(false);
        // The copy must not be refused as not run, because the request is running.
        CPPUNIT_ASSERT(std::holds_alternative<JoinRunning>(gate.arrive(dispatchOf("r1"))));
        const auto refusal = std::get<RefuseRequest>(gate.arrive(dispatchOf("r2")));
        CPPUNIT_ASSERT(refusal.reason == RefusalReason::LeaseExpired);
    }

    void repeatsKeptAnswer()
    {
        RequestGate gate(smallGate(), Incarnation{"i"}, Instant());
        announce(gate, 2);
        DispatchedRequest dispatch = dispatchOf("r1");
        dispatch.keyed = true;
        CPPUNIT_ASSERT(std::holds_alternative<RunRequest>(gate.arrive(dispatch)));
        (void)gate.finish(dispatch.id,
                          {false, std::make_shared<HttpResponse>(HttpResponse::text(200, "a"))});
        const auto repeat = std::get<RepeatAnswer>(gate.arrive(dispatch));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), repeat.answer->body);
    }

private:
    static void announce(RequestGate &gate, std::uint32_t slots)
    {
        const std::vector<BackendServer> backends{{orders, TaskId{"b1"}, slots, false}};
        gate.updateBackends(backends);
    }

    static DispatchedRequest dispatchOf(const std::string &id)
    {
        return {RequestId{id}, Incarnation{"i"}, 1, orders, false};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestGateTest);
