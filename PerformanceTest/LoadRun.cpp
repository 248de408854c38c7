#include <PerformanceTest/LoadRun.h>

#include <algorithm>
#include <thread>

namespace guavashift {

namespace {

constexpr int maxOrderAttempts = 8;
constexpr std::size_t maxRefusalTextBytes = 100;
constexpr Duration resendDelay = std::chrono::milliseconds(100);
constexpr std::string_view runHeader = "Guavashift-Run";
constexpr std::string_view requestIdHeader = "Guavashift-Request-Id";

std::string_view nameOf(HttpFailureStage stage)
{
    switch (stage) {
    case HttpFailureStage::NotConnected:
        return "not-connected";
    case HttpFailureStage::Broken:
        return "broken";
    case HttpFailureStage::TimedOut:
        return "timed-out";
    case HttpFailureStage::TooLarge:
        break;
    }
    return "too-large";
}

} // namespace

struct LoadRun::ThreadState
{
    LoadResult result;
    std::mt19937_64 random;
    std::atomic<std::uint64_t> finished = 0;
};

LoadRun::LoadRun(const LoadSettings &settings)
    : m_settings(settings)
    , m_client(HttpClientSettings())
{
}

LoadResult LoadRun::run()
{
    m_start = BootClock::now();
    std::vector<ThreadState> states(m_settings.threads);
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < m_settings.threads; ++i) {
        states[i].random.seed(m_settings.seed * 1000 + i);
        threads.emplace_back([this, i, &states] { runThread(i, states[i]); });
    }
    std::thread progress;
    if (m_settings.progress)
        progress = std::thread([&] { printProgress(states); });
    for (std::thread &thread : threads)
        thread.join();
    m_done = true;
    if (progress.joinable())
        progress.join();

    LoadResult total;
    total.seconds = std::chrono::duration<double>(BootClock::now() - m_start).count();
    for (ThreadState &state : states) {
        LoadResult &part = state.result;
        total.samples.insert(total.samples.end(), part.samples.begin(), part.samples.end());
        total.orders.insert(total.orders.end(), part.orders.begin(), part.orders.end());
        for (const auto &[text, count] : part.refusals)
            total.refusals[text] += count;
        total.sent += part.sent;
        total.answered += part.answered;
        total.wrong += part.wrong;
        total.notRun += part.notRun;
        total.unknown += part.unknown;
        total.lost += part.lost;
        total.resent += part.resent;
    }
    return total;
}

void LoadRun::printProgress(std::vector<ThreadState> &states)
{
    while (!m_done) {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        std::uint64_t finished = 0;
        for (const ThreadState &state : states)
            finished += state.finished;
        fmt::print(stderr, "\r{:6.1f} s  {} requests finished",
                   std::chrono::duration<double>(BootClock::now() - m_start).count(), finished);
    }
    fmt::print(stderr, "\n");
}

void LoadRun::runThread(unsigned, ThreadState &state)
{
    const Instant end = m_start
        + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_settings.seconds));
    for (;;) {
        const std::uint64_t number = m_next++;
        if (m_settings.maxRequests != 0 && number >= m_settings.maxRequests)
            return;
        Instant due = BootClock::now();
        if (m_settings.requestsPerSecond > 0) {
            due = m_start
                + std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(number / m_settings.requestsPerSecond));
            std::this_thread::sleep_for(due - BootClock::now());
        }
        if (due >= end)
            return;
        if (state.random() % 100 < m_settings.orderPercent)
            sendOrder(state, number, due);
        else
            sendQuote(state, number, due);
        ++state.finished;
    }
}

bool LoadRun::send(ThreadState &state, const HttpCall &call, const std::string &token,
                   std::string_view &outcome)
{
    ++state.result.sent;
    const Instant started = BootClock::now();
    HttpCall first = call;
    first.reuseConnection = !m_settings.freshConnections;
    tl::expected<HttpResponse, HttpFailure> answer = m_client.send(first);
    // Tries the next entry if this one accepts no connection, as the platform's balancer does.
    for (std::size_t i = 0; i + 1 < m_settings.entries.size() && !answer
         && answer.error().stage == HttpFailureStage::NotConnected;
         ++i) {
        HttpCall elsewhere = first;
        const auto at =
            std::find(m_settings.entries.begin(), m_settings.entries.end(), call.address);
        const auto index = static_cast<std::size_t>(at - m_settings.entries.begin()) + i + 1;
        elsewhere.address = m_settings.entries[index % m_settings.entries.size()];
        answer = m_client.send(elsewhere);
    }
    outcome = "lost";
    if (!answer) {
        ++state.result.lost;
        logEvent(LogLevel::Info, "no-answer",
                 {{"token", token},
                  {"entry", call.address},
                  {"stage", nameOf(answer.error().stage)},
                  {"failure", answer.error().message},
                  {"elapsed_ms", toMs(BootClock::now() - started)}});
        return false;
    }
    if (const auto header = answer->headers.find(runHeader)) {
        outcome = *header == "not-run" ? "not-run" : "unknown";
        ++state.result.refusals[answer->body.substr(0, maxRefusalTextBytes)];
        ++(outcome == "not-run" ? state.result.notRun : state.result.unknown);
        logEvent(LogLevel::Info, "refused",
                 {{"token", token},
                  {"entry", call.address},
                  {"request", answer->headers.find(requestIdHeader).value_or("")},
                  {"run", *header},
                  {"elapsed_ms", toMs(BootClock::now() - started)}});
        return false;
    }
    outcome = "ran";
    const bool whole = answer->body.starts_with("token=" + token + "\n")
        && answer->body.ends_with("\nend=" + token + "\n");
    ++(whole ? state.result.answered : state.result.wrong);
    return whole;
}

void LoadRun::sendQuote(ThreadState &state, std::uint64_t number, Instant due)
{
    const std::string token = fmt::format("t{}-{}", m_settings.seed, number);
    HttpCall call;
    call.address = m_settings.entries[number % m_settings.entries.size()];
    call.target = m_settings.path;
    call.headers.add("X-Token", token);
    call.timeout = m_settings.timeout;
    std::string_view outcome;
    const bool succeeded = send(state, call, token, outcome);
    state.result.samples.push_back(
        {std::chrono::duration<double>(due - m_start).count(), BootClock::now() - due, succeeded});
}

void LoadRun::sendOrder(ThreadState &state, std::uint64_t number, Instant due)
{
    OrderRecord order;
    order.id = fmt::format("o{}-{}", m_settings.seed, number);
    const bool resendAnswered = state.random() % 100 < m_settings.resendPercent;
    const std::string body = "order " + order.id;
    // Sends the order until it is answered, each time through the next entry, as a careful caller
    // would.
    int extra = resendAnswered ? 1 : 0;
    for (int i = 0; i < maxOrderAttempts && (!order.answered || extra > 0); ++i) {
        if (order.answered)
            --extra;
        if (i > 0)
            ++state.result.resent;
        HttpCall call;
        call.address =
            m_settings
                .entries[(number + static_cast<std::uint64_t>(i)) % m_settings.entries.size()];
        call.method = "POST";
        call.target = m_settings.orderPath;
        call.headers.add("X-Token", order.id);
        call.headers.add("X-Order", order.id);
        call.headers.add("Idempotency-Key", order.id);
        call.body = body;
        call.timeout = m_settings.timeout;
        std::string_view outcome;
        const bool succeeded = send(state, call, order.id, outcome);
        if (succeeded && !order.answered) {
            order.answered = true;
            state.result.samples.push_back({std::chrono::duration<double>(due - m_start).count(),
                                            BootClock::now() - due, true});
        }
        if (outcome != "not-run")
            order.onlyNotRun = false;
        if (!succeeded)
            std::this_thread::sleep_for(resendDelay);
    }
    state.result.orders.push_back(std::move(order));
}

} // namespace guavashift
