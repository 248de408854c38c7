#include <StandIns/PathProxy.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>

using namespace guavashift;

namespace {

constexpr Duration acceptWait = std::chrono::milliseconds(20);

volatile std::sig_atomic_t stateMayDiffer = 1;

void onSignal(int)
{
    stateMayDiffer = 1;
}

/// The state that the file names. An absent file names none.
std::optional<PathState> readState(const std::string &path)
{
    std::ifstream file(path);
    std::string name;
    file >> name;
    return pathStateOf(name);
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGHUP, &onSignal);
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App app("A proxy that impairs the path to a worker");
    PathProxySettings settings;
    std::string stateFile;
    std::int64_t latestAnswerMs = toMs(settings.latestAnswer);
    app.add_option("--listen", settings.listen, "IP:port")->required();
    app.add_option("--to", settings.target, "IP:port")->required();
    app.add_option("--state", stateFile,
                   "file with one of pass, silent, refuse and late; it is read again on SIGHUP");
    app.add_flag("--close-after-answer", settings.closesAfterAnswer,
                 "close each connection after its first answer");
    app.add_option("--latest-answer-ms", latestAnswerMs, "longest delay while answers are late");
    app.add_option("--seed", settings.seed, "of the delays");
    CLI11_PARSE(app, argc, argv);
    settings.latestAnswer = std::chrono::milliseconds(latestAnswerMs);
    PathProxy proxy(settings);
    do {
        if (stateMayDiffer != 0) {
            stateMayDiffer = 0;
            if (const std::optional<PathState> state = readState(stateFile))
                proxy.setState(*state);
        }
    } while (proxy.serve(acceptWait));
    logEvent(LogLevel::Error, "start-failed", {{"address", settings.listen}});
    return 1;
}
