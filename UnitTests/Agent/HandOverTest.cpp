#include <Guavashift/Agent/AgentRequestHandler.h>
#include <Guavashift/Routing/DispatchHeaders.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// What an agent reports when it is stopped as planned.
class HandOverTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HandOverTest);
    CPPUNIT_TEST(reportsRequestsWithAndWithoutAnswer);
    CPPUNIT_TEST(closesTheAgentOnlyAfterAllReports);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests without a handed-over answer that count as not run.
    void reportsRequestsWithAndWithoutAnswer()
    {
        HttpServer backend({}, [](const HttpRequest &) { return HttpResponse::text(200, "four"); });
        CPPUNIT_ASSERT(backend.start());
        HttpClient client({});
        AgentRequestHandler handler({}, m_incarnation, std::chrono::seconds(60), client);
        handler.announce({ServiceId{"orders"}, TaskId{"task"},
                          "127.0.0.1:" + std::to_string(backend.port()), 8, false});
        for (const char *id : {"r1", "r2"})
            CPPUNIT_ASSERT_EQUAL(200, handler.handle(requestOf(id), true).status);
        handler.startLeaving();
        CPPUNIT_ASSERT_EQUAL(503, handler.handle(requestOf("r3"), true).status);

        const HandOver report = handler.handOver(4);
        CPPUNIT_ASSERT(report.incarnation == m_incarnation);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, report.oldestWindow);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.answers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r2"), report.answers.front().requestId.value);
        CPPUNIT_ASSERT(std::vector{RequestId{"r1"}} == report.withoutAnswer);
    }

    /// Guards against a state in which requests that ran count as not run, also if the agent ends
    /// before it has reported everything.
    void closesTheAgentOnlyAfterAllReports()
    {
        constexpr std::size_t count = 5'000;
        HandOver report;
        report.incarnation = m_incarnation;
        report.oldestWindow = 3;
        for (std::size_t i = 0; i < count; ++i) {
            const RequestId id{"r" + std::to_string(i)};
            if (i % 2 == 0)
                report.answers.push_back({id, 200, {}, std::vector<std::uint8_t>(100)});
            else
                report.withoutAnswer.push_back(id);
        }
        std::set<RequestId> reported;
        const std::vector<CommandBody> commands = report.commands(WorkerId{"w1"});
        for (std::size_t i = 0; i + 1 < commands.size(); ++i) {
            const auto &keep = std::get<KeepAnswers>(commands[i]);
            CPPUNIT_ASSERT(keep.incarnation == m_incarnation);
            for (const KeptAnswer &answer : keep.answers)
                reported.insert(answer.requestId);
            reported.insert(keep.withoutAnswer.begin(), keep.withoutAnswer.end());
        }
        CPPUNIT_ASSERT_EQUAL(count, reported.size());
        CPPUNIT_ASSERT(commands.size() > 3);
        const auto &close = std::get<CloseAgent>(commands.back());
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), close.worker.value);
        CPPUNIT_ASSERT(close.incarnation == m_incarnation);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, close.oldestWindow);
    }

private:
    [[nodiscard]] HttpRequest requestOf(const std::string &id) const
    {
        HttpRequest request;
        request.method = "POST";
        request.path = "/order";
        request.headers.set(header::requestId, id);
        request.headers.set(header::service, "orders");
        request.headers.set(header::incarnation, m_incarnation.value);
        request.headers.set(header::window, "1");
        request.headers.set(header::timeoutMs, "5000");
        request.headers.set(header::keyed, "1");
        request.headers.set(header::once, "1");
        return request;
    }

    const Incarnation m_incarnation{"i1"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HandOverTest);
