#include <Guavashift/Entry/Entry.h>
#include <UnitTests/Support/FreePort.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

const ServiceId orders{"orders"};
const WorkerId stopped{"w1"};
const Incarnation stoppedIncarnation{"i1"};
const WorkerId working{"w2"};
const Incarnation workingIncarnation{"i2"};
constexpr std::uint64_t window = 5;

RpcSettings rpcSettings()
{
    RpcSettings settings;
    settings.clusterKey = "key";
    return settings;
}

std::string closedAddress()
{
    return "127.0.0.1:" + std::to_string(test::freePort());
}

/// A control process whose state is changed by commands only, without a log.
class TestControl final
{
public:
    TestControl()
        : m_server(rpcSettings(), Address{"127.0.0.1", 0})
    {
        for (const auto &[worker, incarnation] :
             {std::pair(stopped, stoppedIncarnation), std::pair(working, workingIncarnation)}) {
            WorkerFacts facts;
            facts.incarnation = incarnation;
            apply(AnnounceWorker{worker, facts});
        }
        m_server.add(method::execute, [this](const Json &json) -> Result<Json> {
            Json outcomes = Json::array();
            for (const Json &command : json.at("commands"))
                outcomes.push_back(variantToJson(apply(variantFromJson<CommandBody>(command))));
            return outcomes;
        });
        CPPUNIT_ASSERT(m_server.start());
    }

    Outcome apply(const CommandBody &command)
    {
        const std::lock_guard lock(m_mutex);
        return m_state.apply(++m_time, command);
    }

    [[nodiscard]] std::string address() const { return m_server.address().text(); }

private:
    std::mutex m_mutex;
    StateMachine m_state;
    WallMs m_time = 0;
    RpcServer m_server;
};

/// An agent that runs every request, or, if it does not listen, one that tells its window only.
class TestAgent final
{
public:
    TestAgent(const WorkerId &worker, const Incarnation &incarnation, bool listens)
        : m_http({},
                 [this, incarnation](const HttpRequest &request) {
                     ++m_runs;
                     HttpResponse response =
                         HttpResponse::text(200, "done by " + incarnation.value);
                     response.headers.set(header::requestId,
                                          std::string(*request.headers.find(header::requestId)));
                     return response;
                 })
        , m_rpc(rpcSettings(), Address{"127.0.0.1", 0})
    {
        m_rpc.add(method::window, [incarnation](const Json &) -> Result<Json> {
            return Json(WindowReply{incarnation, window});
        });
        m_rpc.add(method::revoke, [this](const Json &) -> Result<Json> {
            if (m_beforeRevocation)
                m_beforeRevocation();
            return Json(RevokeReply{RevokeOutcome::Unknown, window});
        });
        CPPUNIT_ASSERT(m_rpc.start());
        m_route.worker = worker;
        m_route.incarnation = incarnation;
        m_route.rpcAddress = m_rpc.address().text();
        m_route.httpAddress = closedAddress();
        m_route.backends = {{orders, TaskId{worker.value + "-task"}, 8, false}};
        if (listens) {
            CPPUNIT_ASSERT(m_http.start());
            m_route.httpAddress = "127.0.0.1:" + std::to_string(m_http.port());
        }
    }

    /// What happens between a dispatch and the answer to its revocation.
    void setBeforeRevocation(std::function<void()> action)
    {
        m_beforeRevocation = std::move(action);
    }

    [[nodiscard]] const WorkerRoute &route() const { return m_route; }
    [[nodiscard]] int runs() const { return m_runs; }

private:
    std::atomic<int> m_runs = 0;
    std::function<void()> m_beforeRevocation;
    HttpServer m_http;
    RpcServer m_rpc;
    WorkerRoute m_route;
};

/// The forwarder of an entry.
class TestEntry final
{
public:
    explicit TestEntry(const std::string &control)
        : m_routing({}, 1)
        , m_client({})
        , m_control(rpcSettings(), {control})
        , m_commands(m_control, std::chrono::seconds(4))
        , m_agents(rpcSettings())
        , m_pool(4)
        , m_telemetry("entry")
        , m_forwarder({}, m_configuration, m_routing, m_client, m_commands, m_agents, m_pool,
                      m_telemetry, "entry")
    {
        HeartbeatReply reply;
        reply.configLeaseMs = 60'000;
        reply.configVersion = 1;
        reply.configuration = Json{
            {"teams", {{"makers", {{"quota", {{"milliCores", 10'000}, {"memoryMb", 10'000}}}}}}},
            {"services",
             {{"orders",
               {{"team", "makers"}, {"replicas", 2}, {"size", {{"milliCores", 1'000}}}}}}},
            {"routes", {{{"prefix", "/order"}, {"service", "orders"}, {"idempotent", false}}}}};
        m_configuration.update(BootClock::now(), reply);
        CPPUNIT_ASSERT(m_configuration.documentAt(BootClock::now()));
    }

    void route(const std::vector<WorkerRoute> &workers)
    {
        m_routing.update({++m_version, true, 1, workers});
    }

    HttpResponse order(const std::string &key)
    {
        HttpRequest request;
        request.method = "POST";
        request.path = "/order";
        request.body = "order " + key;
        request.headers.add(std::string(header::idempotencyKey), key);
        return m_forwarder.handle(request, 0);
    }

private:
    LeasedConfiguration m_configuration;
    RoutingTable m_routing;
    std::uint64_t m_version = 0;
    HttpClient m_client;
    ControlClient m_control;
    CommandBatcher m_commands;
    AgentClients m_agents;
    ThreadPool m_pool;
    Telemetry m_telemetry;
    RequestForwarder m_forwarder;
};

} // namespace

/// Orders while an agent is stopped as planned.
class RequestFlowTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestFlowTest);
    CPPUNIT_TEST(claimsForAnotherAgentIfOneTellsNoWindow);
    CPPUNIT_TEST(movesTheClaimOfAnAgentThatIsStoppedMeanwhile);
    CPPUNIT_TEST(movesTheClaimOfAnAgentThatWasStopped);
    CPPUNIT_TEST(movesNoClaimOfARequestThatMayHaveRun);
    CPPUNIT_TEST(movesNoClaimOfAnAgentThatReportedNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against refusals of orders by an entry that had not sent to a stopped agent before
    /// and did not try another one.
    void claimsForAnotherAgentIfOneTellsNoWindow()
    {
        WorkerRoute gone = m_stopped.route();
        gone.rpcAddress = closedAddress();
        m_entry.route({gone, m_working.route()});
        constexpr int count = 10;
        for (int i = 0; i < count; ++i)
            CPPUNIT_ASSERT_EQUAL(200, m_entry.order("k" + std::to_string(i)).status);
        CPPUNIT_ASSERT_EQUAL(count, m_working.runs());
    }

    /// Guards against refusals as unknown of orders that were claimed for an agent just before it
    /// was stopped as planned, and never reached it.
    void movesTheClaimOfAnAgentThatIsStoppedMeanwhile()
    {
        m_entry.route({m_stopped.route()});
        m_stopped.setBeforeRevocation([this] {
            m_control.apply(CloseAgent{stopped, stoppedIncarnation, window});
            m_entry.route({m_working.route()});
        });
        CPPUNIT_ASSERT_EQUAL(200, m_entry.order("k").status);
        CPPUNIT_ASSERT_EQUAL(200, m_entry.order("k").status);
    }

    /// The same for a copy that arrives after the agent has returned with another incarnation.
    void movesTheClaimOfAnAgentThatWasStopped()
    {
        claimForTheStoppedAgent();
        m_control.apply(CloseAgent{stopped, stoppedIncarnation, window});
        CPPUNIT_ASSERT_EQUAL(200, m_entry.order("k").status);
        CPPUNIT_ASSERT_EQUAL(1, m_working.runs());
    }

    void movesNoClaimOfARequestThatMayHaveRun()
    {
        const RequestId request = claimForTheStoppedAgent();
        m_control.apply(KeepAnswers{stoppedIncarnation, {}, {request}});
        m_control.apply(CloseAgent{stopped, stoppedIncarnation, window});
        expectUnknown(m_entry.order("k"));
        CPPUNIT_ASSERT_EQUAL(0, m_working.runs());
    }

    void movesNoClaimOfAnAgentThatReportedNothing()
    {
        claimForTheStoppedAgent();
        expectUnknown(m_entry.order("k"));
        CPPUNIT_ASSERT_EQUAL(0, m_working.runs());
    }

private:
    static void expectUnknown(const HttpResponse &response)
    {
        const std::string_view run = response.headers.find(header::run).value_or("");
        CPPUNIT_ASSERT_EQUAL(std::string(header::runUnknown), std::string(run));
    }

    /// Sends the order while only the stopped agent is known, and lets the entry learn the working
    /// one afterwards. Returns the id of the claimed request.
    RequestId claimForTheStoppedAgent()
    {
        m_entry.route({m_stopped.route()});
        const HttpResponse refusal = m_entry.order("k");
        expectUnknown(refusal);
        WorkerRoute returned = m_stopped.route();
        returned.incarnation.value = "i3";
        returned.backends.clear();
        m_entry.route({returned, m_working.route()});
        return RequestId{std::string(*refusal.headers.find(header::requestId))};
    }

    TestControl m_control;
    TestAgent m_stopped{stopped, stoppedIncarnation, false};
    TestAgent m_working{working, workingIncarnation, true};
    TestEntry m_entry{m_control.address()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestFlowTest);
