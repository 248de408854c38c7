// Stand-in of the second review: a worker as PROTOCOL describes it, and a client for single calls.
//   review-standin-2 ports N
//       prints the first of N free ports
//   review-standin-2 call METHOD ADDRESS PATH [--host H] [--body B] [--timeout-ms N]
//                    [--record FILE]
//   review-standin-2 worker --listen A --agent A --id ID --record FILE [--service S] [--zone Z]
//                    [--cpu N] [--mem N] [--labels L,L] [--beat-ms N]
// The worker reads the work of a task from its task_spec, "work_ms=N cpu=N mem=N". work_ms=0: it
// lasts until it is stopped; first_fails_after_ms=N: run 1 fails then; tail_ms=N: it serves with
// that tail.

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using Json = nlohmann::json;
using Steady = std::chrono::steady_clock;

namespace {

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Appends one line of JSON to the record, in one write.
void record(const std::string &file, Json line)
{
    if (file.empty())
        return;
    line["at"] = wallMs();
    const std::string text = line.dump() + "\n";
    const int descriptor = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (descriptor < 0)
        return;
    if (::write(descriptor, text.data(), text.size()) < 0)
        std::perror("record");
    ::close(descriptor);
}

sockaddr_in addressOf(const std::string &text)
{
    const auto colon = text.find(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

struct Message
{
    std::string firstLine;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

/// Reads one HTTP message. `buffer` keeps what has arrived of the next one.
std::optional<Message> readMessage(int socket, std::string &buffer, int timeoutMs)
{
    const auto until = Steady::now() + std::chrono::milliseconds(timeoutMs);
    std::size_t headerEnd = std::string::npos;
    std::size_t length = 0;
    Message message;
    for (;;) {
        if (headerEnd == std::string::npos) {
            headerEnd = buffer.find("\r\n\r\n");
            if (headerEnd != std::string::npos) {
                std::string head = buffer.substr(0, headerEnd + 2);
                std::size_t at = head.find("\r\n");
                message.firstLine = head.substr(0, at);
                at += 2;
                while (at < head.size()) {
                    const std::size_t end = head.find("\r\n", at);
                    const std::string line = head.substr(at, end - at);
                    at = end + 2;
                    const std::size_t colon = line.find(':');
                    if (colon == std::string::npos)
                        continue;
                    std::string name = line.substr(0, colon);
                    for (char &c : name)
                        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
                    std::size_t value = colon + 1;
                    while (value < line.size() && line[value] == ' ')
                        ++value;
                    message.headers[name] = line.substr(value);
                }
                if (const auto found = message.headers.find("content-length");
                    found != message.headers.end())
                    length = std::stoul(found->second);
            }
        }
        if (headerEnd != std::string::npos && buffer.size() >= headerEnd + 4 + length) {
            message.body = buffer.substr(headerEnd + 4, length);
            buffer.erase(0, headerEnd + 4 + length);
            return message;
        }
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(until - Steady::now()).count();
        if (left <= 0)
            return std::nullopt;
        pollfd state{socket, POLLIN, 0};
        if (::poll(&state, 1, static_cast<int>(left)) <= 0)
            return std::nullopt;
        char bytes[16384];
        const ssize_t count = ::recv(socket, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return std::nullopt;
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
}

bool sendAll(int socket, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

struct Answer
{
    int status = 0; // 0: none
    std::string body;
};

/// One call on a connection of its own.
Answer call(const std::string &method, const std::string &to, const std::string &path,
            const std::string &host, const std::string &body, int timeoutMs)
{
    Answer answer;
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const int flags = ::fcntl(socket, F_GETFL, 0);
    ::fcntl(socket, F_SETFL, flags | O_NONBLOCK);
    const sockaddr_in address = addressOf(to);
    const auto began = Steady::now();
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        pollfd state{socket, POLLOUT, 0};
        int error = 1;
        socklen_t size = sizeof(error);
        if (errno != EINPROGRESS || ::poll(&state, 1, timeoutMs) <= 0
            || ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(socket);
            return answer;
        }
    }
    ::fcntl(socket, F_SETFL, flags);
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + (host.empty() ? to : host)
        + "\r\nX-Request-Deadline-Ms: " + std::to_string(timeoutMs) + "\r\n";
    if (!body.empty() || method == "POST" || method == "PUT")
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n";
    text += "\r\n" + body;
    std::string buffer;
    const auto spent =
        std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() - began).count();
    if (sendAll(socket, text)) {
        if (const auto message =
                readMessage(socket, buffer, std::max(1, timeoutMs - static_cast<int>(spent)))) {
            answer.status = std::atoi(message->firstLine.substr(9, 3).c_str());
            answer.body = message->body;
        }
    }
    ::close(socket);
    return answer;
}

struct Options
{
    std::map<std::string, std::string> named;
    std::vector<std::string> plain;

    Options(int argc, char **argv)
    {
        for (int i = 0; i < argc; ++i) {
            const std::string word = argv[i];
            if (word.rfind("--", 0) == 0 && i + 1 < argc)
                named[word.substr(2)] = argv[++i];
            else
                plain.push_back(word);
        }
    }
    [[nodiscard]] std::string text(const std::string &name, const std::string &otherwise = "") const
    {
        const auto found = named.find(name);
        return found == named.end() ? otherwise : found->second;
    }
    [[nodiscard]] std::int64_t number(const std::string &name, std::int64_t otherwise) const
    {
        const auto found = named.find(name);
        return found == named.end() ? otherwise : std::stoll(found->second);
    }
};

/// Number after "NAME=" in a task_spec.
std::int64_t numberIn(const std::string &spec, const std::string &name, std::int64_t otherwise)
{
    const std::size_t at = spec.find(name + "=");
    return at == std::string::npos ? otherwise
                                   : std::strtoll(spec.c_str() + at + name.size() + 1, nullptr, 10);
}

volatile std::sig_atomic_t drainWanted = 0;

class Worker
{
public:
    explicit Worker(const Options &options)
        : m_id(options.text("id"))
        , m_listen(options.text("listen"))
        , m_agent(options.text("agent"))
        , m_service(options.text("service", "desk"))
        , m_zone(options.text("zone", "z"))
        , m_record(options.text("record"))
        , m_cpu(options.number("cpu", 64000))
        , m_mem(options.number("mem", 256000))
        , m_beatMs(options.number("beat-ms", 1500))
        , m_born(wallMs())
        , m_began(Steady::now())
    {
        std::string labels = options.text("labels", "a,r1-1");
        for (std::size_t at = 0; at <= labels.size();) {
            const std::size_t end = std::min(labels.find(',', at), labels.size());
            m_labels.push_back(labels.substr(at, end - at));
            at = end + 1;
        }
    }

    int run()
    {
        const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in address = addressOf(m_listen);
        if (::bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
            || ::listen(listener, 64) != 0) {
            std::perror("listen");
            return 1;
        }
        write({{"event", "born"}});
        std::thread([this] { tick(); }).detach();
        std::thread([this] { beat(); }).detach();
        for (;;) {
            const int socket = ::accept(listener, nullptr, nullptr);
            if (socket < 0)
                continue;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, socket] { serve(socket); }).detach();
        }
    }

private:
    struct Run
    {
        std::uint64_t number = 0;
        std::string spec;
        Steady::time_point startedAt;
        std::int64_t workMs = 0;
        std::int64_t cpu = 0;
        std::int64_t mem = 0;
        std::int64_t pace = 100;
        std::string checkpoint;
    };
    struct End
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };

    void write(Json line) const
    {
        line["worker"] = m_id;
        line["born"] = m_born;
        record(m_record, std::move(line));
    }

    [[nodiscard]] std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() - m_began)
                   .count()
            + 1;
    }

    // With the lock held.
    void end(const std::string &task, const std::string &how)
    {
        const auto found = m_runs.find(task);
        m_ends.push_back({++m_lastEnd, task, found->second.number, how});
        m_settled[task] = std::max(m_settled[task], found->second.number);
        write({{"event", "end"},
               {"task", task},
               {"run", found->second.number},
               {"how", how},
               {"n", m_lastEnd}});
        m_runs.erase(found);
        m_changed.notify_all();
    }

    // With the lock held.
    void update()
    {
        if (!m_runs.empty() && clockMs() > m_until) {
            while (!m_runs.empty())
                end(m_runs.begin()->first, "lapsed");
        }
        std::vector<std::pair<std::string, std::string>> ended;
        for (const auto &[task, run] : m_runs) {
            const auto age =
                std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() - run.startedAt)
                    .count();
            const std::int64_t failsAfter = numberIn(run.spec, "first_fails_after_ms", 0);
            if (failsAfter > 0 && run.number == 1 && age >= failsAfter)
                ended.emplace_back(task, "failed");
            else if (run.workMs > 0 && age >= run.workMs)
                ended.emplace_back(task, "done");
        }
        for (const auto &[task, how] : ended)
            end(task, how);
    }

    void tick()
    {
        for (;;) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            const std::lock_guard lock(m_mutex);
            update();
        }
    }

    void beat()
    {
        std::int64_t sequence = 0;
        int last = -1;
        for (;;) {
            const bool drains = drainWanted != 0;
            const Json report{{"service", m_service},
                              {"address", m_listen},
                              {"zone", m_zone},
                              {"version", "v1"},
                              {"slots", 8},
                              {"state", drains ? "draining" : "ready"},
                              {"cold_remaining_ms", 0},
                              {"capacity", {{"cpu", m_cpu}, {"mem_mb", m_mem}, {"gpu", 0}}},
                              {"labels", m_labels},
                              {"machine_id", "m-" + m_id},
                              {"clock_ms", clockMs()},
                              {"sequence", ++sequence},
                              {"born", m_born}};
            const Answer answer =
                call("PUT", m_agent, "/guavashift/instances/" + m_id, "", report.dump(), 1000);
            write({{"event", "beat"},
                   {"state", drains ? "draining" : "ready"},
                   {"sequence", sequence},
                   {"status", answer.status}});
            last = answer.status;
            std::this_thread::sleep_for(std::chrono::milliseconds(last == 200 ? m_beatMs : 300));
        }
    }

    void serve(int socket)
    {
        std::string buffer;
        while (const auto request = readMessage(socket, buffer, 60'000)) {
            const std::string &line = request->firstLine;
            const std::size_t first = line.find(' ');
            const std::string path = line.substr(first + 1, line.rfind(' ') - first - 1);
            const auto named = request->headers.find("x-expected-instance");
            Json body = Json::parse(request->body, nullptr, false);
            int status = 200;
            Json answer = Json::object();
            if (named != request->headers.end() && named->second != m_id)
                status = 421;
            else if (!body.is_object())
                status = 400;
            else
                status = handle(path, body, answer);
            if (!answer.contains("clock_ms"))
                answer["clock_ms"] = clockMs();
            const std::string text = answer.dump();
            if (!sendAll(socket,
                         "HTTP/1.1 " + std::to_string(status)
                             + " x\r\nContent-Type: application/json\r\nContent-Length: "
                             + std::to_string(text.size()) + "\r\n\r\n" + text))
                break;
        }
        ::close(socket);
    }

    int handle(const std::string &path, const Json &body, Json &answer)
    {
        std::unique_lock lock(m_mutex);
        update();
        const auto fence = body.value("fencing_token", std::uint64_t{0});
        if (fence < m_fence) {
            answer["reason"] = "fence";
            answer["born"] = m_born;
            return 409;
        }
        m_fence = fence;
        if (path == "/guavashift/hold")
            return hold(lock, body, answer);
        if (path == "/guavashift/run-start")
            return start(body, answer);
        if (path == "/guavashift/run-stop")
            return stop(body, answer);
        if (path == "/guavashift/pace")
            return pace(body);
        return 404;
    }

    void extend(const Json &body)
    {
        m_until =
            std::max(m_until, std::min(body.value("until_ms", std::int64_t{0}), clockMs() + 6000));
    }

    int hold(std::unique_lock<std::mutex> &lock, const Json &body, Json &answer)
    {
        extend(body);
        const auto seen = body.value("seen_upto", std::uint64_t{0});
        std::erase_if(m_ends, [&](const End &each) { return each.number <= seen; });
        const auto wait = std::min<std::int64_t>(body.value("wait_ms", std::int64_t{0}), 2000);
        if (wait > 0 && m_ends.empty())
            m_changed.wait_for(lock, std::chrono::milliseconds(wait),
                               [this] { return !m_ends.empty(); });
        answer["born"] = m_born;
        answer["clock_ms"] = clockMs();
        Json running = Json::array();
        for (const auto &[task, run] : m_runs) {
            const auto age =
                std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() - run.startedAt)
                    .count();
            const std::int64_t percent = run.workMs > 0
                ? std::min<std::int64_t>(99, age * 100 / run.workMs)
                : (age > 300 ? 100 : 50);
            running.push_back(Json::array({task, run.number, "", percent, figureOf(run, percent)}));
        }
        Json ended = Json::array();
        for (const End &each : m_ends) {
            if (ended.size() < 500)
                ended.push_back(Json::array({each.number, each.task, each.run, each.how, ""}));
        }
        answer["running"] = std::move(running);
        answer["ended"] = std::move(ended);
        return 200;
    }

    /// The rough figure of a run: the tail of a task that serves, the processors in use of others.
    [[nodiscard]] static std::int64_t figureOf(const Run &run, std::int64_t percent)
    {
        const std::int64_t tail = numberIn(run.spec, "tail_ms", 0);
        if (tail == 0)
            return run.cpu * run.pace / 100;
        // None for one that has just started. It varies by a millisecond.
        return percent < 100 ? 0 : tail + std::rand() % 2;
    }

    int refuse(Json &answer, const char *reason, const std::string &task, std::uint64_t number)
    {
        answer["reason"] = reason;
        write({{"event", "start"},
               {"task", task},
               {"run", number},
               {"status", 409},
               {"reason", reason}});
        return 409;
    }

    int start(const Json &body, Json &answer)
    {
        const auto task = body.value("task", std::string());
        const auto number = body.value("run_id", std::uint64_t{0});
        const auto spec = body.value("task_spec", std::string());
        if (const auto found = m_runs.find(task);
            found != m_runs.end() && found->second.number == number)
            return 200;
        if (m_runs.contains(task) || number <= m_settled[task]) {
            extend(body);
            return refuse(answer, "old", task, number);
        }
        if (body.value("until_ms", std::int64_t{0}) <= clockMs())
            return refuse(answer, "late", task, number);
        extend(body);
        Run run;
        run.number = number;
        run.spec = spec;
        run.startedAt = Steady::now();
        run.workMs = numberIn(spec, "work_ms", 1000);
        run.cpu = numberIn(spec, "cpu", 1000);
        run.mem = numberIn(spec, "mem", 100);
        std::int64_t cpu = run.cpu;
        std::int64_t mem = run.mem;
        for (const auto &[name, other] : m_runs) {
            cpu += other.cpu;
            mem += other.mem;
        }
        if (cpu > m_cpu || mem > m_mem)
            return refuse(answer, "room", task, number);
        m_runs.emplace(task, run);
        write(
            {{"event", "start"}, {"task", task}, {"run", number}, {"status", 200}, {"spec", spec}});
        m_changed.notify_all();
        return 200;
    }

    int stop(const Json &body, Json &)
    {
        const auto task = body.value("task", std::string());
        const auto number = body.value("run_id", std::uint64_t{0});
        write({{"event", "stop"}, {"task", task}, {"run", number}});
        if (const auto found = m_runs.find(task);
            found != m_runs.end() && found->second.number <= number)
            end(task, "stopped");
        m_settled[task] = std::max(m_settled[task], number);
        return 200;
    }

    int pace(const Json &body)
    {
        const auto found = m_runs.find(body.value("task", std::string()));
        if (found != m_runs.end() && found->second.number == body.value("run_id", std::uint64_t{0}))
            found->second.pace = body.value("percent", std::int64_t{100});
        return 200;
    }

    const std::string m_id, m_listen, m_agent, m_service, m_zone, m_record;
    const std::int64_t m_cpu, m_mem, m_beatMs, m_born;
    const Steady::time_point m_began;
    std::vector<std::string> m_labels;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_fence = 0;
    std::int64_t m_until = 0;
    std::uint64_t m_lastEnd = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint64_t> m_settled; ///< Highest run that ended or was stopped.
    std::vector<End> m_ends;
};

int freePorts(int count)
{
    std::srand(static_cast<unsigned>(::getpid()) ^ static_cast<unsigned>(wallMs()));
    for (int attempt = 0; attempt < 200; ++attempt) {
        const int first = 20000 + std::rand() % 10000;
        bool free = true;
        for (int port = first; port < first + count && free; ++port) {
            const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
            sockaddr_in address{};
            address.sin_family = AF_INET;
            address.sin_port = htons(static_cast<std::uint16_t>(port));
            inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
            free = ::bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
            ::close(socket);
        }
        if (free) {
            std::printf("%d\n", first);
            return 0;
        }
    }
    return 1;
}

int makeCall(const Options &options)
{
    if (options.plain.size() < 3)
        return 2;
    const auto &words = options.plain;
    const std::string host = options.text("host"), body = options.text("body"),
                      file = options.text("record");
    record(file,
           {{"event", "sent"},
            {"method", words[0]},
            {"to", words[1]},
            {"host", host},
            {"path", words[2]},
            {"body", body}});
    const Answer answer = call(words[0], words[1], words[2], host, body,
                               static_cast<int>(options.number("timeout-ms", 3000)));
    record(file,
           {{"event", "answered"},
            {"method", words[0]},
            {"path", words[2]},
            {"status", answer.status},
            {"body", answer.body}});
    std::printf("%d %s\n", answer.status, answer.body.c_str());
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string verb = argc > 1 ? argv[1] : "";
    const Options options(argc - 2 > 0 ? argc - 2 : 0, argv + 2);
    if (verb == "ports")
        return freePorts(options.plain.empty() ? 16 : std::stoi(options.plain[0]));
    if (verb == "call")
        return makeCall(options);
    if (verb == "worker") {
        std::signal(SIGUSR1, [](int) { drainWanted = 1; });
        return Worker(options).run();
    }
    std::fputs("usage: review-standin-2 ports|call|worker ...\n", stderr);
    return 2;
}
