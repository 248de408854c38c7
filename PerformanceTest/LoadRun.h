#pragma once

#include <Guavashift/Http/Http.h>

#include <atomic>
#include <map>
#include <mutex>
#include <random>

namespace guavashift {

/// Load that a run generates on the entries.
struct LoadSettings
{
    std::vector<std::string> entries; ///< "IP:port", used in rotation.
    std::string path = "/quote";
    std::string orderPath = "/order";
    double requestsPerSecond = 200; ///< 0: each thread sends as soon as its last is answered.
    unsigned threads = 16;
    double seconds = 5;
    std::uint64_t maxRequests = 0; ///< 0: as many as fit into the time.
    unsigned orderPercent = 0;     ///< Share of non-idempotent requests with a key.
    unsigned resendPercent = 0;    ///< Share of orders sent again after an answer.
    Duration timeout = std::chrono::seconds(5);
    std::uint64_t seed = 1;
    bool progress = true;
    /// Opens a connection for each request, so that a request whose connection breaks was
    /// certainly in flight.
    bool freshConnections = false;
};

/// Result of one request as observed by its caller.
struct LoadSample
{
    double atSeconds = 0;   ///< Due time, from the start of the run.
    Duration latency{};     ///< From the due time to the answer.
    bool succeeded = false; ///< Complete answer of the right backend server.
};

/// Answers that the sender of an order received.
struct OrderRecord
{
    std::string id;
    bool answered = false;
    bool onlyNotRun = true; ///< Every answer said that the order was not run.
};

struct LoadResult
{
    std::vector<LoadSample> samples;
    std::vector<OrderRecord> orders;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t wrong = 0; ///< Truncated, mixed up, or with another request's token.
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t lost = 0; ///< No answer from the entry at all.
    std::uint64_t resent = 0;
    double seconds = 0;
    std::map<std::string, std::uint64_t> refusals; ///< Number of refusals by text.
};

/// Sends requests at a fixed rate, however long the answers take, and checks every answer.
class LoadRun final
{
public:
    explicit LoadRun(const LoadSettings &settings);

    LoadResult run();

private:
    struct ThreadState;

    void runThread(unsigned index, ThreadState &state);
    void sendQuote(ThreadState &state, std::uint64_t number, Instant due);
    void sendOrder(ThreadState &state, std::uint64_t number, Instant due);
    /// Sends one request and checks that the answer is complete and carries `token`. Sets `outcome`
    /// to "ran", "not-run", "unknown" or "lost" (no answer).
    bool send(ThreadState &state, const HttpCall &call, const std::string &token,
              std::string_view &outcome);
    void printProgress(std::vector<ThreadState> &states);

    LoadSettings m_settings;
    HttpClient m_client;
    Instant m_start;
    std::atomic<std::uint64_t> m_next = 0;
    std::atomic<bool> m_done = false;
};

} // namespace guavashift
