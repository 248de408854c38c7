#include <Daemon/AdminServer.h>

#include <csignal>
#include <cstdio>

using namespace guavashift;

namespace {

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitWrongSettings = 2;

/// Blocks SIGTERM and SIGINT, so that sigwait() receives them, and ignores SIGPIPE. Returns the
/// blocked signals.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int runDaemon(const DaemonSettings &settings, const sigset_t &signals)
{
    setLogLevel(settings.logLevel);
    Telemetry telemetry(settings.vm);
    RoleHealth health;
    AdminServer admin(settings, telemetry, health);
    const RoleContext context{settings, telemetry, health, admin.router()};
    std::vector<std::unique_ptr<Role>> roles;
    for (const std::string &name : settings.roles)
        roles.push_back(RoleRegistry::instance().create(name, context));

    Kernel kernel(std::move(roles));
    // Roles add their calls as they start: before that, operators would be told that there are
    // none.
    Result<void> started = kernel.start();
    if (started) {
        started = admin.start();
        if (!started)
            kernel.shutDown();
    }
    if (!started) {
        logEvent(LogLevel::Error, "start-failed", {{"reason", started.error().message}});
        return exitFailed;
    }
    logEvent(LogLevel::Info, "started",
             {{"vm", settings.vm},
              {"roles", fmt::format("{}", fmt::join(settings.roles, ","))},
              {"admin_port", admin.port()},
              {"version", GUAVASHIFT_VERSION}});

    int signal = 0;
    sigwait(&signals, &signal);
    logEvent(LogLevel::Info, "stopping", {{"signal", signal}});
    kernel.shutDown();
    admin.stop();
    logEvent(LogLevel::Info, "stopped");
    return exitOk;
}

} // namespace

int main(int argc, char **argv)
{
    const sigset_t signals = blockSignals();
    const SettingsResult result = readDaemonSettings(argc, argv, RoleRegistry::instance().names());
    return std::visit(
        Overloaded{[&](const RunDaemon &run) { return runDaemon(run.settings, signals); },
                   [](const PrintAndExit &print) {
                       std::fputs(print.text.c_str(), stdout);
                       return exitOk;
                   },
                   [](const InvalidSettings &wrong) {
                       for (const Finding &finding : wrong.findings)
                           fmt::print(stderr, "guavashiftd: {}: {}\n", finding.place,
                                      finding.message);
                       return exitWrongSettings;
                   }},
        result);
}
