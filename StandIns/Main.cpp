#include <Guavashift/Agent/BackendRegistry.h>
#include <Guavashift/Rpc/Rpc.h>
#include <StandIns/BackendStandIn.h>
#include <StandIns/PlatformStandIn.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <thread>

using namespace guavashift;

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(20);
constexpr Duration announceInterval = std::chrono::milliseconds(500);
constexpr unsigned maxConnections = 256;

struct StandInSettings
{
    std::string listen = "127.0.0.1:0";
    std::string agentAdmin;
    std::string record;
    std::int64_t delayMs = 0;
    PlatformStandInSettings platform;
};

Instant instantOf(const Json &json)
{
    return Instant(std::chrono::milliseconds(json.at("leaseEndBootMs").get<std::int64_t>()));
}

HttpResponse answerOf(const Result<void> &result)
{
    if (result)
        return HttpResponse::json(200, {{"done", true}});
    const int status = result.error().code == ErrorCode::Conflict ? 409 : 503;
    return HttpResponse::json(status, {{"error", result.error().message}});
}

/// Serves the Platform interface over HTTP.
HttpResponse servePlatform(PlatformStandIn &platform, const HttpRequest &request)
{
    const Instant now = BootClock::now();
    try {
        const Json json = Json::parse(request.body);
        if (request.path == "/platform/renew")
            return HttpResponse::json(200, platform.renew(instantOf(json), now));
        if (request.path == "/platform/start")
            return answerOf(
                platform.start(json.at("order").get<TaskOrder>(), instantOf(json), now));
        const auto task = json.at("task").get<TaskId>();
        const auto attempt = json.at("attempt").get<Attempt>();
        if (request.path == "/platform/stop")
            platform.stop(task, attempt, now);
        else if (request.path == "/platform/throttle")
            platform.throttle(task, attempt, json.at("speedPercent").get<std::uint32_t>(), now);
        else if (request.path == "/platform/forget")
            platform.forget(task, attempt);
        else
            return HttpResponse::json(404, {{"error", "unknown platform call"}});
        return answerOf({});
    } catch (const Json::exception &error) {
        return HttpResponse::json(400, {{"error", error.what()}});
    }
}

/// Announces the backend servers of the running services to the agent and withdraws those of
/// stopped tasks.
class BackendAnnouncer final
{
public:
    BackendAnnouncer(HttpClient &client, std::string agentAdmin, std::string address)
        : m_client(client)
        , m_agentAdmin(std::move(agentAdmin))
        , m_address(std::move(address))
    {
    }

    void announce(const std::map<TaskId, TaskOrder> &services)
    {
        const Instant now = BootClock::now();
        const bool due = now >= m_nextAnnouncement;
        if (due)
            m_nextAnnouncement = now + announceInterval;
        for (const auto &[task, order] : services) {
            if (m_announced.insert(task).second || due)
                send(task, order.service, order.slots, false);
            m_orders[task] = order;
        }
        // Withdraws a stopped task's backend server at once instead of when its lease expires.
        std::erase_if(m_announced, [&](const TaskId &task) {
            if (services.contains(task))
                return false;
            send(task, m_orders[task].service, m_orders[task].slots, true);
            return true;
        });
    }

private:
    void send(const TaskId &task, const ServiceId &service, std::uint32_t slots, bool leaving)
    {
        const std::string body =
            Json(BackendAnnouncement{service, task, m_address, std::max(1U, slots), leaving})
                .dump();
        HttpCall call;
        call.address = m_agentAdmin;
        call.method = "POST";
        call.target = "/backend/announce";
        call.body = body;
        call.timeout = std::chrono::seconds(1);
        (void)m_client.send(call);
    }

    HttpClient &m_client;
    std::string m_agentAdmin;
    std::string m_address;
    Instant m_nextAnnouncement;
    std::set<TaskId> m_announced;
    std::map<TaskId, TaskOrder> m_orders;
};

volatile std::sig_atomic_t stopRequested = 0;

void onSignal(int)
{
    stopRequested = 1;
}

int runStandIn(const StandInSettings &settings)
{
    RecordFile record(settings.record);
    PlatformStandIn platform(settings.platform, record);
    BackendStandIn backend(record, std::chrono::milliseconds(settings.delayMs));
    const Result<Address> listen = Address::parse(settings.listen);
    if (!listen)
        return 2;
    HttpServerSettings http;
    http.ip = listen->ip;
    http.port = listen->port;
    http.maxConnections = maxConnections;
    HttpServer server(http, [&](const HttpRequest &request) {
        return request.path.starts_with("/platform/") ? servePlatform(platform, request)
                                                      : backend.handle(request);
    });
    if (const Result<void> started = server.start(); !started) {
        logEvent(LogLevel::Error, "start-failed", {{"reason", started.error().message}});
        return 1;
    }
    HttpClient client{HttpClientSettings()};
    BackendAnnouncer announcer(client, settings.agentAdmin,
                               Address{listen->ip, server.port()}.text());
    while (stopRequested == 0) {
        platform.advance(BootClock::now());
        if (!settings.agentAdmin.empty())
            announcer.announce(platform.runningServices());
        std::this_thread::sleep_for(tickInterval);
    }
    server.stop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGTERM, &onSignal);
    std::signal(SIGINT, &onSignal);
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App app("A stand-in for one worker of the platform and its backend servers");
    StandInSettings settings;
    app.add_option("--listen", settings.listen, "IP:port");
    app.add_option("--agent-admin", settings.agentAdmin, "IP:port of the agent's administration");
    app.add_option("--record", settings.record,
                   "file that gets a line for each start, end and run");
    app.add_option("--delay-ms", settings.delayMs, "added to each answer");
    app.add_option("--boot-id", settings.platform.bootId, "id of this start of the VM");
    app.add_flag("--fail-every-task", settings.platform.failEveryTask, "tasks fail after 50 ms");
    CLI11_PARSE(app, argc, argv);
    return runStandIn(settings);
}
