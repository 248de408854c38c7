#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

// Stand-ins for the cases of the review: a worker of the users' platform, a client that sends one
// request, and a proxy that resets one connection. They follow PROTOCOL.md. Every process appends
// one line of JSON per event to the file that --record names.

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int exitOk = 0;
constexpr int exitUsage = 2;
constexpr std::size_t endsPerList = 500;
constexpr std::int64_t stopMs = 200;
constexpr std::int64_t startupMs = 200;
constexpr int tickMs = 10;
constexpr int retryMs = 300;
constexpr int callTimeoutMs = 1000;

std::int64_t unixMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

/// Named command-line arguments: `--name value`.
class Arguments final
{
public:
    Arguments(int argc, char **argv)
    {
        for (int i = 2; i + 1 < argc; i += 2)
            m_values[argv[i]] = argv[i + 1];
    }

    [[nodiscard]] std::string text(const std::string &name, const std::string &other = {}) const
    {
        const auto found = m_values.find(name);
        return found == m_values.end() ? other : found->second;
    }

    [[nodiscard]] std::int64_t number(const std::string &name, std::int64_t other) const
    {
        const auto found = m_values.find(name);
        return found == m_values.end() ? other : std::stoll(found->second);
    }

private:
    std::map<std::string, std::string> m_values;
};

/// Appends events to a file that several processes share.
class Recorder final
{
public:
    explicit Recorder(const std::string &path)
    {
        if (!path.empty())
            m_file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    }

    void write(Json event) const
    {
        if (m_file < 0)
            return;
        event["at"] = unixMs();
        const std::string line = event.dump() + "\n";
        if (::write(m_file, line.data(), line.size()) < 0)
            std::perror("record");
    }

private:
    int m_file = -1;
};

std::optional<sockaddr_in> parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    if (colon == std::string::npos
        || inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) != 1)
        return std::nullopt;
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    return parsed;
}

int listenAt(const std::string &address)
{
    constexpr int backlog = 1024;
    const std::optional<sockaddr_in> parsed = parseAddress(address);
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (!parsed
        || ::bind(handle, reinterpret_cast<const sockaddr *>(&*parsed), sizeof(*parsed)) != 0
        || ::listen(handle, backlog) != 0) {
        std::perror(address.c_str());
        std::exit(exitUsage);
    }
    return handle;
}

int connectTo(const std::string &address, int timeoutMs)
{
    const std::optional<sockaddr_in> parsed = parseAddress(address);
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout{timeoutMs / 1000, timeoutMs % 1000 * 1000L};
    const int on = 1;
    setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (!parsed
        || ::connect(handle, reinterpret_cast<const sockaddr *>(&*parsed), sizeof(*parsed)) != 0) {
        ::close(handle);
        return -1;
    }
    return handle;
}

bool sendAll(int handle, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/// One HTTP message: its first line, its headers as text, and its body.
struct Message
{
    std::string first;
    std::string headers;
    std::string body;

    [[nodiscard]] std::string header(std::string_view name) const
    {
        const auto same = [](char left, char right) {
            return std::tolower(static_cast<unsigned char>(left))
                == std::tolower(static_cast<unsigned char>(right));
        };
        std::size_t at = 0;
        while (at < headers.size()) {
            const std::size_t end = std::min(headers.find("\r\n", at), headers.size());
            const std::string_view line = std::string_view(headers).substr(at, end - at);
            const std::size_t colon = line.find(':');
            if (colon == name.size() && std::equal(name.begin(), name.end(), line.begin(), same)) {
                const std::size_t begin = line.find_first_not_of(' ', colon + 1);
                return begin == std::string_view::npos ? "" : std::string(line.substr(begin));
            }
            at = end + 2;
        }
        return {};
    }
};

/// Reads one message. `input` keeps what was read beyond it.
std::optional<Message> readMessage(int handle, std::string &input)
{
    constexpr std::size_t chunk = 65536;
    const auto more = [&] {
        std::string buffer(chunk, '\0');
        const ssize_t count = ::recv(handle, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            return false;
        input.append(buffer, 0, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = input.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!more())
            return std::nullopt;
        end = input.find("\r\n\r\n");
    }
    Message message;
    const std::size_t firstEnd = input.find("\r\n");
    message.first = input.substr(0, firstEnd);
    if (firstEnd < end)
        message.headers = input.substr(firstEnd + 2, end - firstEnd - 2);
    const std::string length = message.header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (input.size() < end + 4 + size) {
        if (!more())
            return std::nullopt;
    }
    message.body = input.substr(end + 4, size);
    input.erase(0, end + 4 + size);
    return message;
}

/// Sends one request on a new connection. Returns the status, or 0 without an answer.
int call(const std::string &address, const std::string &method, const std::string &path,
         const std::string &headers, const std::string &body, int timeoutMs,
         std::string *answer = nullptr)
{
    const int handle = connectTo(address, timeoutMs);
    if (handle < 0)
        return 0;
    const std::string request = method + " " + path + " HTTP/1.1\r\n" + headers
        + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
    std::string input;
    const std::optional<Message> reply =
        sendAll(handle, request) ? readMessage(handle, input) : std::nullopt;
    ::close(handle);
    if (!reply || reply->first.size() < 12)
        return 0;
    if (answer != nullptr)
        *answer = reply->body;
    return std::stoi(reply->first.substr(9, 3));
}

/// A number after `name=` in the text of a task.
std::int64_t numberIn(const std::string &text, const std::string &name, std::int64_t other)
{
    const std::size_t at = text.find(name + "=");
    return at == std::string::npos ? other : std::stoll(text.substr(at + name.size() + 1));
}

/// The stand-in of one worker. A task works for `work_ms` of its text; with 0 it lasts.
class Worker final
{
public:
    explicit Worker(const Arguments &arguments)
        : m_id(arguments.text("--id"))
        , m_agent(arguments.text("--agent"))
        , m_record(arguments.text("--record"))
        , m_gangFolder(arguments.text("--gangs"))
        , m_maxHoldMs(arguments.number("--max-hold-ms", 6000))
        , m_heartbeatMs(arguments.number("--heartbeat-ms", 1500))
        , m_drainMs(arguments.number("--drain-ms", 2000))
        , m_leaveMs(arguments.number("--leave-ms", 3000))
        , m_firstReportMs(arguments.number("--first-report-ms", 0))
        , m_listen(arguments.text("--listen"))
        , m_service(arguments.text("--service", "desk"))
        , m_label(arguments.text("--label", "r1-1"))
        , m_cpu(arguments.number("--cpu", 64000))
        , m_memory(arguments.number("--mem", 256000))
        , m_born(unixMs())
        , m_began(Clock::now())
    {
    }

    int run()
    {
        const int listener = listenAt(m_listen);
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGUSR1);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::thread([this] { tickForever(); }).detach();
        std::thread([this] { reportForever(); }).detach();
        std::thread([this, signals] {
            int signal = 0;
            sigwait(&signals, &signal);
            leave();
        }).detach();
        record("born", {});
        for (;;) {
            const int handle = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle >= 0)
                std::thread([this, handle] { serve(handle); }).detach();
        }
    }

private:
    struct Run
    {
        std::int64_t number = 0;
        std::string spec;
        std::int64_t startedAt = 0; ///< Of its work; 0 while a member of a gang waits.
        std::int64_t stopAt = 0;
        std::int64_t acceptedAt = 0;
        std::int64_t resumedMs = 0; ///< Work that its checkpoint covers.
        std::string checkpoint;     ///< With which it started.
    };

    struct End
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
        std::string saved;
    };

    [[nodiscard]] std::int64_t clockMs() const
    {
        constexpr std::int64_t base = 1000;
        using namespace std::chrono;
        return base + duration_cast<milliseconds>(Clock::now() - m_began).count();
    }

    void record(const std::string &event, Json more) const
    {
        more["event"] = event;
        more["worker"] = m_id;
        more["born"] = m_born;
        m_record.write(std::move(more));
    }

    [[nodiscard]] std::int64_t workedMs(const Run &run) const
    {
        return run.resumedMs + (run.startedAt == 0 ? 0 : clockMs() - run.startedAt);
    }

    /// A checkpoint of the task: the work that it covers, and a part of the job's id.
    static std::string checkpointOf(const std::string &task, std::int64_t workMs)
    {
        constexpr std::size_t idAt = 4;
        constexpr std::size_t idLength = 8;
        char covered[idLength + 1];
        std::snprintf(covered, sizeof(covered), "%08x", static_cast<unsigned>(workMs));
        return covered + task.substr(idAt, idLength);
    }

    /// The newest checkpoint: one for each two seconds of work.
    [[nodiscard]] std::string savedOf(const std::string &task, const Run &run) const
    {
        constexpr std::int64_t checkpointMs = 2000;
        const std::int64_t covered = workedMs(run) / checkpointMs * checkpointMs;
        return covered <= run.resumedMs ? run.checkpoint : checkpointOf(task, covered);
    }

    /// The folder in which the members of a gang's run meet; empty for other tasks.
    [[nodiscard]] std::string gangOf(const std::string &task, const Run &run) const
    {
        if (m_gangFolder.empty() || numberIn(run.spec, "gang", 0) == 0)
            return {};
        return m_gangFolder + "/" + task.substr(0, task.rfind('.')) + "."
            + std::to_string(run.number);
    }

    /// Lets the members of a gang work from the moment when all are there, and ends them together.
    /// Returns the end of this member, or nothing.
    std::string meetGang(const std::string &task, Run &run)
    {
        constexpr std::int64_t gangWaitMs = 3000;
        namespace fs = std::filesystem;
        const std::string gang = gangOf(task, run);
        if (gang.empty())
            return {};
        std::error_code ignored;
        for (const char *how : {"broken", "done"}) {
            if (fs::exists(gang + "/" + how, ignored))
                return how;
        }
        if (run.startedAt != 0)
            return {};
        const auto members = std::distance(fs::directory_iterator(gang, ignored), {});
        if (members >= numberIn(run.spec, "gang", 0))
            run.startedAt = clockMs();
        return run.startedAt == 0 && clockMs() - run.acceptedAt > gangWaitMs ? "alone" : "";
    }

    void end(std::map<std::string, Run>::iterator run, const std::string &how)
    {
        const std::string saved = how == "done" ? std::string()
            : how == "stopped"                  ? checkpointOf(run->first, workedMs(run->second))
                                                : savedOf(run->first, run->second);
        if (const std::string gang = gangOf(run->first, run->second);
            !gang.empty() && how != "broken")
            std::ofstream(gang + (how == "done" ? "/done" : "/broken")).put('1');
        m_ends.push_back({++m_endCount, run->first, run->second.number, how, saved});
        m_settled[run->first] = std::max(m_settled[run->first], run->second.number);
        record("end",
               {{"n", m_endCount},
                {"task", run->first},
                {"run", run->second.number},
                {"how", how},
                {"saved", saved}});
        m_runs.erase(run);
        m_ended.notify_all();
    }

    void tickForever()
    {
        for (;;) {
            std::this_thread::sleep_for(std::chrono::milliseconds(tickMs));
            const std::lock_guard lock(m_mutex);
            const std::int64_t now = clockMs();
            if (m_holds && now >= m_until) {
                m_holds = false;
                record("lease-lapsed", {});
            }
            for (auto at = m_runs.begin(); at != m_runs.end();) {
                const auto run = at++;
                const std::int64_t work = numberIn(run->second.spec, "work_ms", 0);
                if (now >= m_until)
                    end(run, "lapsed");
                else if (run->second.stopAt != 0 && now >= run->second.stopAt)
                    end(run, "stopped");
                else if (const std::string how = meetGang(run->first, run->second); !how.empty())
                    end(run, how);
                else if (work > 0 && run->second.startedAt != 0 && workedMs(run->second) >= work)
                    end(run, numberIn(run->second.spec, "fail", 0) != 0 ? "failed" : "done");
            }
        }
    }

    [[nodiscard]] std::string report()
    {
        const std::lock_guard lock(m_mutex);
        Json body{{"service", m_service},
                  {"address", m_listen},
                  {"zone", "z"},
                  {"version", "v1"},
                  {"slots", 8},
                  {"state", m_draining ? "draining" : "ready"},
                  {"cold_remaining_ms", 0},
                  {"capacity", {{"cpu", m_cpu}, {"mem_mb", m_memory}, {"gpu", 0}}},
                  {"labels", {"a", m_label}},
                  {"clock_ms", clockMs()},
                  {"born", m_born},
                  {"machine_id", "m-" + m_id},
                  {"sequence", ++m_sequence}};
        if (m_draining)
            body["remaining_ms"] = m_drainMs;
        return body.dump();
    }

    bool sendReport()
    {
        return call(m_agent, "PUT", "/guavashift/instances/" + m_id, "Host: a\r\n", report(),
                    callTimeoutMs)
            == 200;
    }

    void reportForever()
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(m_firstReportMs));
        while (!m_leaving) {
            const bool sent = sendReport();
            std::this_thread::sleep_for(std::chrono::milliseconds(sent ? m_heartbeatMs : retryMs));
        }
    }

    /// A planned end: reports `draining`, serves for the drain time after the ack, says goodbye and
    /// ends. Without an ack of the goodbye it ends some seconds later.
    void leave()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_draining = true;
        }
        record("draining", {});
        while (!sendReport())
            std::this_thread::sleep_for(std::chrono::milliseconds(retryMs));
        record("draining-acked", {});
        std::this_thread::sleep_for(std::chrono::milliseconds(m_drainMs));
        m_leaving = true;
        const int status = call(m_agent, "DELETE", "/guavashift/instances/" + m_id, "Host: a\r\n",
                                "", callTimeoutMs);
        record("goodbye", {{"status", status}});
        if (status == 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(m_leaveMs));
        const std::lock_guard lock(m_mutex);
        for (const auto &[task, run] : m_runs)
            record("cut-off", {{"task", task}, {"run", run.number}});
        record("gone", {});
        std::_Exit(exitOk);
    }

    void serve(int handle)
    {
        const int on = 1;
        setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::string input;
        while (const std::optional<Message> message = readMessage(handle, input)) {
            int status = 200;
            const std::string body = answer(*message, status).dump();
            if (!sendAll(handle,
                         "HTTP/1.1 " + std::to_string(status)
                             + " -\r\nContent-Type: application/json\r\nContent-Length: "
                             + std::to_string(body.size()) + "\r\n\r\n" + body))
                break;
        }
        ::close(handle);
    }

    Json answer(const Message &message, int &status)
    {
        const std::string expected = message.header("X-Expected-Instance");
        const Json body = Json::parse(message.body, nullptr, false);
        std::unique_lock lock(m_mutex);
        Json reply;
        if (!expected.empty() && expected != m_id) {
            status = 421;
        } else if (!body.is_object()) {
            status = 400;
        } else if (body.value("fencing_token", std::uint64_t{0}) < m_fence) {
            status = 409;
            reply["reason"] = "fence";
        } else {
            m_fence = body.value("fencing_token", std::uint64_t{0});
            if (message.first.starts_with("POST /guavashift/run-start"))
                status = start(body, reply);
            else if (message.first.starts_with("POST /guavashift/run-stop"))
                stop(body);
            else if (message.first.starts_with("POST /guavashift/hold"))
                hold(body, reply, lock);
            else if (!message.first.starts_with("POST /guavashift/pace"))
                status = 404;
        }
        reply["clock_ms"] = clockMs();
        reply["born"] = m_born;
        return reply;
    }

    void extend(const Json &body)
    {
        const std::int64_t until =
            std::min(body.value("until_ms", std::int64_t{0}), clockMs() + m_maxHoldMs);
        m_until = std::max(m_until, until);
        m_holds = m_holds || m_until > clockMs();
    }

    int start(const Json &body, Json &reply)
    {
        const auto task = body.value("task", std::string());
        const auto run = body.value("run_id", std::int64_t{0});
        int status = 200;
        const auto found = m_runs.find(task);
        if (body.value("until_ms", std::int64_t{0}) <= clockMs()) {
            status = 409;
            reply["reason"] = "late";
        } else if (found != m_runs.end() && found->second.number == run) {
            extend(body);
        } else if (found != m_runs.end()
                   || (m_settled.contains(task) && run <= m_settled.at(task))) {
            extend(body);
            status = 409;
            reply["reason"] = "old";
        } else {
            extend(body);
            begin(task, run, body);
        }
        record("start",
               {{"task", task},
                {"run", run},
                {"status", status},
                {"checkpoint", body.value("checkpoint", std::string())}});
        return status;
    }

    void begin(const std::string &task, std::int64_t number, const Json &body)
    {
        constexpr std::size_t coveredLength = 8;
        constexpr int hexadecimal = 16;
        Run run;
        run.number = number;
        run.spec = body.value("task_spec", std::string());
        run.acceptedAt = clockMs();
        run.checkpoint = body.value("checkpoint", std::string());
        if (!run.checkpoint.empty())
            run.resumedMs =
                std::stoll(run.checkpoint.substr(0, coveredLength), nullptr, hexadecimal);
        if (const std::string gang = gangOf(task, run); gang.empty()) {
            run.startedAt = run.acceptedAt;
        } else {
            std::filesystem::create_directories(gang);
            std::ofstream(gang + "/" + task.substr(task.rfind('.') + 1)).put('1');
        }
        m_runs[task] = run;
    }

    void stop(const Json &body)
    {
        const auto task = body.value("task", std::string());
        const auto run = body.value("run_id", std::int64_t{0});
        const auto found = m_runs.find(task);
        if (found != m_runs.end() && found->second.number == run) {
            if (found->second.stopAt == 0)
                found->second.stopAt = clockMs() + stopMs;
        } else {
            m_settled[task] = std::max(m_settled[task], run);
        }
        record("stop", {{"task", task}, {"run", run}});
    }

    void hold(const Json &body, Json &reply, std::unique_lock<std::mutex> &lock)
    {
        extend(body);
        const auto seen = body.value("seen_upto", std::int64_t{0});
        if (seen > m_seen) {
            m_seen = seen;
            record("seen", {{"upto", seen}});
        }
        std::erase_if(m_ends, [&](const End &each) { return each.number <= m_seen; });
        m_ended.wait_for(lock, std::chrono::milliseconds(body.value("wait_ms", 0)),
                         [this] { return !m_ends.empty(); });
        reply["running"] = Json::array();
        for (const auto &[task, run] : m_runs) {
            const std::int64_t worked = workedMs(run);
            const std::int64_t work = numberIn(run.spec, "work_ms", 0);
            const std::int64_t percent = work > 0 ? std::min<std::int64_t>(99, worked * 100 / work)
                                                  : (worked >= startupMs ? 100 : 0);
            reply["running"].push_back({task, run.number, savedOf(task, run), percent, 1});
        }
        reply["ended"] = Json::array();
        for (std::size_t i = 0; i < std::min(m_ends.size(), endsPerList); ++i)
            reply["ended"].push_back(
                {m_ends[i].number, m_ends[i].task, m_ends[i].run, m_ends[i].how, m_ends[i].saved});
    }

    std::string m_id;
    std::string m_agent;
    Recorder m_record;
    std::string m_gangFolder; ///< In which the members of gangs meet; workers share it.
    std::int64_t m_maxHoldMs;
    std::int64_t m_heartbeatMs;
    std::int64_t m_drainMs;
    std::int64_t m_leaveMs;       ///< Until it ends after a goodbye without an ack.
    std::int64_t m_firstReportMs; ///< From its start to its first report.
    std::string m_listen;
    std::string m_service;
    std::string m_label;
    std::int64_t m_cpu;
    std::int64_t m_memory;
    std::int64_t m_born;
    Clock::time_point m_began;

    std::mutex m_mutex;
    std::condition_variable m_ended;
    std::atomic<bool> m_leaving = false;
    bool m_draining = false;
    std::int64_t m_sequence = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_until = 0;
    bool m_holds = false; ///< Whether its lease has not lapsed.
    std::int64_t m_seen = 0;
    std::int64_t m_endCount = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::int64_t> m_settled; ///< The highest run stopped or ended here.
    std::vector<End> m_ends;
};

/// Sends one request and prints its status, 000 without an answer, and the body.
int runCall(const Arguments &arguments)
{
    const Recorder record(arguments.text("--record"));
    const std::string method = arguments.text("--method", "GET");
    const std::string path = arguments.text("--path");
    const std::int64_t deadline = arguments.number("--deadline-ms", 3000);
    const std::string headers = "Host: " + arguments.text("--host", "a")
        + "\r\nX-Request-Deadline-Ms: " + std::to_string(deadline) + "\r\n";
    record.write({{"event", "sent"},
                  {"method", method},
                  {"path", path},
                  {"to", arguments.text("--to")},
                  {"body", arguments.text("--body")}});
    std::string body;
    const int status = call(arguments.text("--to"), method, path, headers, arguments.text("--body"),
                            static_cast<int>(deadline), &body);
    record.write({{"event", "answered"},
                  {"method", method},
                  {"path", path},
                  {"status", status},
                  {"body", body}});
    std::printf("%03d %s\n", status, body.c_str());
    return exitOk;
}

void resetConnection(int handle)
{
    const linger now{1, 0};
    setsockopt(handle, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    ::close(handle);
}

/// A proxy. With --reset 1 it resets the connections that carry a DELETE once that is answered.
/// From SIGUSR1 to SIGUSR2 its target is silent, as after a loss of power: nothing passes, and no
/// end of a connection is seen. The connections of before are reset when the target is back.
class Proxy final
{
public:
    explicit Proxy(const Arguments &arguments)
        : m_listen(arguments.text("--listen"))
        , m_target(arguments.text("--to"))
        , m_resets(arguments.number("--reset", 0) != 0)
    {
    }

    int run()
    {
        const int listener = listenAt(m_listen);
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGUSR1);
        sigaddset(&signals, SIGUSR2);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::thread([this, signals] {
            for (;;) {
                int signal = 0;
                sigwait(&signals, &signal);
                m_silent = signal == SIGUSR1;
                m_epoch += signal == SIGUSR1 ? 1 : 0;
            }
        }).detach();
        for (;;) {
            const int client = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (client >= 0)
                std::thread([this, client] { serve(client); }).detach();
        }
    }

private:
    static constexpr int pollMs = 5;

    /// Waits while the target is silent.
    void waitForTarget() const
    {
        while (m_silent)
            std::this_thread::sleep_for(std::chrono::milliseconds(pollMs));
    }

    void serve(int client)
    {
        if (m_silent) {
            waitForTarget();
            return resetConnection(client);
        }
        const int epoch = m_epoch;
        const int server = connectTo(m_target, callTimeoutMs);
        if (server < 0)
            return resetConnection(client);
        const bool reset = pump(client, server, epoch);
        if (m_silent || m_epoch != epoch || reset) {
            waitForTarget();
            resetConnection(client);
        } else {
            ::close(client);
        }
        ::close(server);
    }

    /// Copies bytes between the connections until one ends. Returns whether the client's is to be
    /// reset.
    bool pump(int client, int server, int epoch) const
    {
        constexpr std::size_t chunk = 65536;
        std::string buffer(chunk, '\0');
        bool resetNext = false;
        pollfd both[2] = {{client, POLLIN, 0}, {server, POLLIN, 0}};
        for (;;) {
            const int ready = ::poll(both, 2, pollMs);
            if (ready < 0 || m_silent || m_epoch != epoch)
                return false;
            if (ready == 0)
                continue;
            const bool fromClient = (both[0].revents & (POLLIN | POLLHUP | POLLERR)) != 0;
            const ssize_t count =
                ::recv(fromClient ? client : server, buffer.data(), buffer.size(), 0);
            if (count <= 0)
                return false;
            const std::string_view bytes(buffer.data(), static_cast<std::size_t>(count));
            if (fromClient && m_resets && bytes.starts_with("DELETE "))
                resetNext = true;
            if (!fromClient && resetNext)
                return true;
            if (!sendAll(fromClient ? server : client, bytes))
                return false;
        }
    }

    std::string m_listen;
    std::string m_target;
    bool m_resets;
    std::atomic<bool> m_silent = false;
    std::atomic<int> m_epoch = 0;
};

/// Prints the first of `--count` consecutive ports that are free on all loopback addresses.
int printFreePorts(const Arguments &arguments)
{
    constexpr int lowest = 20000;
    constexpr int highest = 32000;
    const int count = static_cast<int>(arguments.number("--count", 16));
    const int first = lowest + static_cast<int>(::getpid() * 37 % 400) * 16;
    for (int base = first; base < highest; base += count) {
        bool isFree = true;
        for (int port = base; isFree && port < base + count; ++port) {
            const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
            sockaddr_in address{};
            address.sin_family = AF_INET;
            address.sin_port = htons(static_cast<std::uint16_t>(port));
            isFree =
                ::bind(handle, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
            ::close(handle);
        }
        if (isFree) {
            std::printf("%d\n", base);
            return exitOk;
        }
    }
    return exitUsage;
}

/// One run of a task, as the workers recorded it.
struct RecordedRun
{
    std::string task;
    std::int64_t run = 0;
    std::string life; ///< Worker and time of its start.
    std::int64_t began = 0;
    std::int64_t ended = 0;  ///< 0: not yet.
    std::int64_t number = 0; ///< Of its end in the worker's list.
    std::string how;
    std::int64_t notedAt = 0; ///< When `seen_upto` reached a done end with the lease unbroken.
};

/// Reads the runs from a record. A line {"event":"gone"} ends all runs of that worker's life.
std::vector<RecordedRun> readRuns(const std::string &path)
{
    std::vector<RecordedRun> runs;
    std::ifstream file(path);
    std::map<std::string, std::string> lives; // The present life of each worker.
    for (std::string line; std::getline(file, line);) {
        const Json json = Json::parse(line, nullptr, false);
        if (!json.is_object() || !json.contains("worker"))
            continue;
        const auto event = json.value("event", std::string());
        const auto worker = json.value("worker", std::string());
        if (json.contains("born"))
            lives[worker] = worker + "/" + std::to_string(json.value("born", std::int64_t{0}));
        const std::string life = lives[worker];
        const auto at = json.value("at", std::int64_t{0});
        const auto task = json.value("task", std::string());
        const auto number = json.value("run", std::int64_t{0});
        if (event == "start" && json.value("status", 0) == 200) {
            const bool known = std::any_of(runs.begin(), runs.end(), [&](const RecordedRun &run) {
                return run.task == task && run.run == number && run.life == life;
            });
            if (!known)
                runs.push_back({task, number, life, at, 0, 0, {}, 0});
        }
        for (RecordedRun &run : runs) {
            if (run.life != life)
                continue;
            if (event == "end" && run.task == task && run.run == number) {
                run.ended = at;
                run.number = json.value("n", std::int64_t{0});
                run.how = json.value("how", std::string());
            } else if (event == "gone" && run.ended == 0) {
                run.ended = at;
                run.how = "gone";
            } else if (event == "lease-lapsed" && run.how == "done" && run.notedAt == 0) {
                run.how = "done-lapsed";
            } else if (event == "seen" && run.how == "done" && run.notedAt == 0
                       && json.value("upto", std::int64_t{0}) >= run.number) {
                run.notedAt = at;
            }
        }
    }
    return runs;
}

/// Judges TWICE: prints each violation and returns 1 if there is one.
int judgeTwice(const Arguments &arguments)
{
    const std::vector<RecordedRun> runs = readRuns(arguments.text("--record"));
    int violations = 0;
    constexpr int mostPrinted = 10;
    for (const RecordedRun &later : runs) {
        for (const RecordedRun &earlier : runs) {
            if (&earlier == &later || earlier.task != later.task || earlier.began > later.began
                || (earlier.began == later.began && earlier.run >= later.run))
                continue;
            const bool overlaps = earlier.ended == 0 || earlier.ended > later.began;
            const bool afterDone =
                earlier.how == "done" && earlier.notedAt != 0 && earlier.ended <= later.began;
            if ((overlaps || afterDone) && ++violations <= mostPrinted)
                std::printf("%s: run %lld began on %s at %lld, %s\n", later.task.c_str(),
                            static_cast<long long>(later.run), later.life.c_str(),
                            static_cast<long long>(later.began),
                            overlaps
                                ? ("while run " + std::to_string(earlier.run) + " was at work on "
                                   + earlier.life + " until " + std::to_string(earlier.ended))
                                      .c_str()
                                : ("after run " + std::to_string(earlier.run)
                                   + " had ended done at " + std::to_string(earlier.ended)
                                   + ", noted at " + std::to_string(earlier.notedAt))
                                      .c_str());
        }
    }
    std::printf("runs: %zu, violations: %d\n", runs.size(), violations);
    return violations > 0 ? 1 : exitOk;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::map<std::string, std::function<int(const Arguments &)>> commands{
        {"worker", [](const Arguments &arguments) { return Worker(arguments).run(); }},
        {"call", runCall},
        {"proxy", [](const Arguments &arguments) { return Proxy(arguments).run(); }},
        {"ports", printFreePorts},
        {"twice", judgeTwice}};
    const auto found = argc < 2 ? commands.end() : commands.find(argv[1]);
    if (found == commands.end()) {
        std::fputs("usage: review-standin worker|call|proxy|ports|twice --NAME VALUE...\n", stderr);
        return exitUsage;
    }
    return found->second(Arguments(argc, argv));
}
