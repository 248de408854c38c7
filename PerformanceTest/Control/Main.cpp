#include <Guavashift/Control/ControlNode.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace guavashift;

namespace {

constexpr WallMs startTime = 1'800'000'000'000;

double millisecondsSince(Instant start)
{
    return std::chrono::duration<double, std::milli>(BootClock::now() - start).count();
}

std::size_t residentKb()
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:"))
            return std::stoul(line.substr(line.find_first_of("0123456789")));
    }
    return 0;
}

/// Populates a state with workers, teams and running tasks.
void fill(StateMachine &state, std::size_t workers, std::size_t tasks, std::size_t teams)
{
    Json teamsJson = Json::object();
    const Json quota = {{"milliCores", 900'000'000}, {"memoryMb", 900'000'000}};
    for (std::size_t i = 0; i < teams; ++i)
        teamsJson["team" + std::to_string(i)] = {{"quota", quota}};
    state.apply(startTime, SubmitPatch{{"bench", "1", 0, {{"teams", teamsJson}}}});
    for (std::size_t i = 0; i < workers; ++i) {
        WorkerFacts facts{Incarnation{"0123456789abcdef"},
                          "boot",
                          FailureDomain{"domain" + std::to_string(i % 15)},
                          RackId{"rack" + std::to_string(i / 3)},
                          {64'000, 250'000, i % 3 == 0 ? 4 : 0},
                          "10.0.0.1:7200",
                          "10.0.0.1:7201"};
        state.apply(startTime, AnnounceWorker{WorkerId{fmt::format("w{:05}", i)}, facts});
    }
    for (std::size_t i = 0; i < tasks; ++i) {
        JobSpec spec{TeamId{"team" + std::to_string(i % teams)},
                     "job" + std::to_string(i),
                     "family" + std::to_string(i % 200),
                     1,
                     {2'000, 4'000, 0},
                     false,
                     0,
                     startTime + 3'600'000,
                     600'000};
        state.apply(startTime, SubmitJob{spec});
        const WorkerId worker{fmt::format("w{:05}", i % workers)};
        const TaskId task = batchTaskId(spec.key(), 0);
        state.apply(startTime,
                    StartAttempt{task, worker, Incarnation{"0123456789abcdef"}, spec.size});
        state.apply(startTime, ReportAttempt{task, 1, worker, AttemptEvent::Started, {}, 0});
    }
}

void measureState()
{
    fmt::print("state: snapshot at growing size\n{:>8}{:>8}{:>12}{:>10}{:>10}{:>14}{:>12}\n",
               "workers", "tasks", "bytes", "write ms", "read ms", "memory kB", "faults");
    for (const auto &[workers, tasks] : {std::pair<std::size_t, std::size_t>{10, 1'000},
                                         {100, 4'000},
                                         {500, 10'000},
                                         {2'100, 40'000}}) {
        const std::size_t before = residentKb();
        auto state = std::make_unique<StateMachine>();
        fill(*state, workers, tasks, 510);
        const std::size_t memory = residentKb() - before;
        Instant start = BootClock::now();
        const std::string bytes = SnapshotCodec::encode(*state);
        const double writeMs = millisecondsSince(start);
        StateMachine loaded;
        start = BootClock::now();
        (void)SnapshotCodec::decode(bytes, loaded);
        const double readMs = millisecondsSince(start);
        fmt::print("{:>8}{:>8}{:>12}{:>10.0f}{:>10.0f}{:>14}{:>12}\n", workers, tasks, bytes.size(),
                   writeMs, readMs, memory, state->checkInvariants().size());
        std::fflush(stdout);
    }
}

void measureHeartbeats()
{
    fmt::print("leader: heartbeats of agents and rounds of "
               "decisions\n{:>8}{:>8}{:>16}{:>16}{:>16}{:>14}\n",
               "workers", "tasks", "us/heartbeat", "request bytes", "reply bytes", "round ms");
    for (const auto &[workers, tasks] : {std::pair<std::size_t, std::size_t>{10, 200},
                                         {100, 2'000},
                                         {500, 10'000},
                                         {2'100, 40'000}}) {
        StateMachine state;
        fill(state, workers, tasks, 510);
        LeaderDuties duties({}, {}, 1);
        Instant now = BootClock::now();
        duties.start(now, 1);
        std::size_t requestBytes = 0;
        std::size_t replyBytes = 0;
        std::vector<CommandBody> commands;
        const std::size_t heartbeats = std::max<std::size_t>(2'000, workers);
        const Instant start = BootClock::now();
        for (std::size_t i = 0; i < heartbeats; ++i) {
            const auto at =
                std::next(state.workers().begin(), static_cast<std::ptrdiff_t>(i % workers));
            HeartbeatRequest request;
            request.node = at->first.value;
            request.incarnation = at->second.facts.incarnation;
            request.configVersion = 1;
            request.ordersVersion = at->second.ordersVersion;
            // Starts are reported once; each heartbeat carries the measurements of two tasks.
            for (const TaskId &task : at->second.tasks) {
                UsageReport usage;
                usage.task = task;
                usage.attempt = 1;
                usage.measuredAt = startTime;
                usage.used = {2'000, 4'000, 0};
                request.usage.push_back(usage);
                if (request.usage.size() >= 2)
                    break;
            }
            const std::string text = Json(request).dump();
            const auto parsed = Json::parse(text).get<HeartbeatRequest>();
            const std::string reply = Json(duties.heartbeat(state, parsed, now, commands)).dump();
            requestBytes += text.size();
            replyBytes += reply.size();
        }
        const double usPerHeartbeat =
            1000 * millisecondsSince(start) / static_cast<double>(heartbeats);
        const Instant decideStart = BootClock::now();
        constexpr int rounds = 20;
        for (int i = 0; i < rounds; ++i)
            commands = duties.decide(state, now, startTime + 1'000 + i);
        fmt::print("{:>8}{:>8}{:>16.1f}{:>16}{:>16}{:>14.2f}\n", workers, tasks, usPerHeartbeat,
                   requestBytes / heartbeats, replyBytes / heartbeats,
                   millisecondsSince(decideStart) / rounds);
        std::fflush(stdout);
    }
}

/// Measures commits through one replica with a synced disk for several numbers of concurrent
/// callers.
void measureCommits(const std::filesystem::path &folder)
{
    fmt::print("commits: one replica, synced disk\n{:>10}{:>14}{:>12}{:>12}\n", "in flight",
               "commits/s", "p50 ms", "p99 ms");
    Telemetry telemetry("bench");
    Result<DataFolder> data = DataFolder::open(folder, "bench", "bench", 1);
    const Member self{data->replica(), "bench", "127.0.0.1:1", FailureDomain{"d"}, false};
    ControlNode node({}, std::move(*data), self, {"127.0.0.1:1"}, telemetry, 1);
    if (!node.start() || !node.bootstrap())
        return;
    while (!node.query(Query{"status", {}, true}))
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    std::atomic<std::uint64_t> nextKey = 0;
    for (const unsigned callers : {1U, 16U, 256U}) {
        std::vector<std::vector<double>> latencies(callers);
        std::vector<std::thread> threads;
        const Instant start = BootClock::now();
        for (unsigned caller = 0; caller < callers; ++caller) {
            threads.emplace_back([&, caller] {
                while (BootClock::now() < start + std::chrono::seconds(3)) {
                    Claim claim;
                    claim.service.value = "orders";
                    claim.key = std::to_string(nextKey++);
                    const Json command = variantToJson(CommandBody(ClaimKey{claim}));
                    const Instant sent = BootClock::now();
                    if (node.execute({{"commands", {command}}}))
                        latencies[caller].push_back(millisecondsSince(sent));
                }
            });
        }
        for (std::thread &thread : threads)
            thread.join();
        const double seconds = millisecondsSince(start) / 1000;
        std::vector<double> all;
        for (const std::vector<double> &part : latencies)
            all.insert(all.end(), part.begin(), part.end());
        std::sort(all.begin(), all.end());
        fmt::print("{:>10}{:>14.0f}{:>12.2f}{:>12.2f}\n", callers, all.size() / seconds,
                   all[all.size() / 2], all[all.size() * 99 / 100]);
        std::fflush(stdout);
    }
    node.stop();
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Measures the control process in isolation");
    CLI11_PARSE(app, argc, argv);
    setLogLevel(LogLevel::Error);
    std::string pattern = (std::filesystem::temp_directory_path() / "benchXXXXXX").string();
    const std::filesystem::path folder = ::mkdtemp(pattern.data());
    measureCommits(folder);
    std::filesystem::remove_all(folder);
    measureState();
    measureHeartbeats();
    return 0;
}
