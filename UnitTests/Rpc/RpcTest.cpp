#include <Guavashift/Rpc/Rpc.h>

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <filesystem>
#include <future>
#include <sys/syscall.h>
#include <thread>
#include <unistd.h>

using namespace guavashift;

namespace {

RpcSettings settingsWith(const std::string &key)
{
    RpcSettings settings;
    settings.clusterKey = key;
    settings.handlerThreads = 4;
    return settings;
}

/// Interrupts the system calls that the other threads of this process wait in, as it happens when
/// the process is stopped and continued.
void interruptOtherThreads()
{
    struct sigaction action = {};
    struct sigaction before = {};
    action.sa_handler = [](int) {};
    CPPUNIT_ASSERT_EQUAL(0, ::sigaction(SIGUSR2, &action, &before));
    for (const auto &entry : std::filesystem::directory_iterator("/proc/self/task")) {
        const long thread = std::stol(entry.path().filename());
        if (thread != ::syscall(SYS_gettid))
            CPPUNIT_ASSERT_EQUAL(0L, ::syscall(SYS_tgkill, ::getpid(), thread, SIGUSR2));
    }
    // The signal is handled before its default action, which ends the process, is set again.
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(0, ::sigaction(SIGUSR2, &before, nullptr));
}

} // namespace

/// Tests RPC clients and servers over loopback.
class RpcTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RpcTest);
    CPPUNIT_TEST(answersCalls);
    CPPUNIT_TEST(returnsHandlerErrors);
    CPPUNIT_TEST(refusesAWrongKey);
    CPPUNIT_TEST(reconnectsAfterARestart);
    CPPUNIT_TEST(answersAfterItsThreadsWereInterrupted);
    CPPUNIT_TEST(timesOutOnAHangingHandler);
    CPPUNIT_TEST(parsesAddresses);
    CPPUNIT_TEST_SUITE_END();

public:
    void answersCalls()
    {
        RpcServer server(settingsWith("key"), {"127.0.0.1", 0});
        addMethods(server);
        CPPUNIT_ASSERT(server.start().has_value());
        RpcClient client(settingsWith("key"), server.address());
        const Json value = {{"text", std::string(20'000, 'x')},
                            {"list", {1, -2, 2.5, true, nullptr}}};
        const Result<Json> answer = client.call("echo", value, std::chrono::seconds(5));
        CPPUNIT_ASSERT(answer && *answer == value);
    }

    void returnsHandlerErrors()
    {
        RpcServer server(settingsWith("key"), {"127.0.0.1", 0});
        addMethods(server);
        CPPUNIT_ASSERT(server.start().has_value());
        RpcClient client(settingsWith("key"), server.address());
        const Result<Json> failed = client.call("fail", Json::object(), std::chrono::seconds(5));
        CPPUNIT_ASSERT(failed.error().code == ErrorCode::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("no"), failed.error().message);
        const Result<Json> malformed =
            client.call("strict", Json::object(), std::chrono::seconds(5));
        CPPUNIT_ASSERT(malformed.error().code == ErrorCode::InvalidArgument);
        CPPUNIT_ASSERT(!client.call("nothing", Json::object(), std::chrono::seconds(5)));
    }

    void refusesAWrongKey()
    {
        RpcServer server(settingsWith("key"), {"127.0.0.1", 0});
        addMethods(server);
        CPPUNIT_ASSERT(server.start().has_value());
        RpcClient client(settingsWith("yek"), server.address());
        CPPUNIT_ASSERT(!client.call("echo", Json::object(), std::chrono::seconds(2)));
    }

    void reconnectsAfterARestart()
    {
        auto server = std::make_unique<RpcServer>(settingsWith("key"), Address{"127.0.0.1", 0});
        addMethods(*server);
        CPPUNIT_ASSERT(server->start().has_value());
        const Address address = server->address();
        RpcClient client(settingsWith("key"), address);
        CPPUNIT_ASSERT(client.call("echo", Json::object(), std::chrono::seconds(5)).has_value());
        server.reset();
        const Result<Json> failed = client.call("echo", Json::object(), std::chrono::seconds(1));
        CPPUNIT_ASSERT(failed.error().code == ErrorCode::Unavailable);
        server = std::make_unique<RpcServer>(settingsWith("key"), address);
        addMethods(*server);
        CPPUNIT_ASSERT(server->start().has_value());
        CPPUNIT_ASSERT(client.call("echo", Json::object(), std::chrono::seconds(5)).has_value());
    }

    /// Guards against a server whose thread ends when the process is stopped and continued, while
    /// the process runs on.
    void answersAfterItsThreadsWereInterrupted()
    {
        RpcServer server(settingsWith("key"), {"127.0.0.1", 0});
        addMethods(server);
        CPPUNIT_ASSERT(server.start().has_value());
        RpcClient client(settingsWith("key"), server.address());
        CPPUNIT_ASSERT(client.call("echo", Json::object(), std::chrono::seconds(5)).has_value());
        interruptOtherThreads();
        CPPUNIT_ASSERT(client.call("echo", Json::object(), std::chrono::seconds(5)).has_value());
        RpcClient another(settingsWith("key"), server.address());
        CPPUNIT_ASSERT(another.call("echo", Json::object(), std::chrono::seconds(5)).has_value());
    }

    void timesOutOnAHangingHandler()
    {
        RpcServer server(settingsWith("key"), {"127.0.0.1", 0});
        std::promise<void> release;
        std::shared_future<void> released = release.get_future().share();
        server.add("hang", [released](const Json &) -> Result<Json> {
            released.wait();
            return Json(1);
        });
        CPPUNIT_ASSERT(server.start().has_value());
        RpcClient client(settingsWith("key"), server.address());
        const Result<Json> answer =
            client.call("hang", Json::object(), std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(answer.error().code == ErrorCode::Timeout);
        release.set_value();
    }

    void parsesAddresses()
    {
        CPPUNIT_ASSERT(Address::parse("127.0.0.1:80").has_value());
        for (const char *wrong : {"localhost:80", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:70000"})
            CPPUNIT_ASSERT(!Address::parse(wrong));
    }

private:
    static void addMethods(RpcServer &server)
    {
        server.add("echo", [](const Json &json) -> Result<Json> { return json; });
        server.add("fail",
                   [](const Json &) -> Result<Json> { return fail(ErrorCode::Conflict, "no"); });
        server.add("strict", [](const Json &json) -> Result<Json> { return json.at("needed"); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RpcTest);
