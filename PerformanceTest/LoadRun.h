#pragma once

#include <Guavashift/Http/Http.h>

#include <atomic>
#include <map>
#include <mutex>
#include <random>

namespace guavashift {

/// What load a run puts on the entries.
struct LoadSettings
{
    std::vector<std::string> entries; ///< "IP:port", taken in turn.
    std::string path = "/quote";
    std::string orderPath = "/order";
    double requestsPerSecond = 200; ///< 0: each thread sends as fast as it is answered.
    unsigned threads = 16;
    double seconds = 5;
    std::uint64_t maxRequests = 0; ///< 0: as many as fit into the time.
    unsigned orderPercent = 0;     ///< Non-idempotent requests with a key.
    unsigned resendPercent = 0;    ///< Orders that are sent again although they were answered.
    Duration timeout = std::chrono::seconds(5);
    std::uint64_t seed = 1;
    bool progress = true;
    /// A new connection for each request, so that one that breaks off was certainly in flight.
    bool freshConnections = false;
};

/// One request as its caller saw it.
struct LoadSample
{
    double atSeconds = 0;   ///< When it was due, from the start of the run.
    Duration latency{};     ///< From when it was due.
    bool succeeded = false; ///< A whole answer of the right backend server.
};

/// What an order's sender was told.
struct OrderRecord
{
    std::string id;
    bool answered = false;
    bool onlyNotRun = true; ///< Every answer said that it was not run.
};

struct LoadResult
{
    std::vector<LoadSample> samples;
    std::vector<OrderRecord> orders;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t wrong = 0; ///< Short, mixed up, or with another request's token.
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t lost = 0; ///< No answer from the entry at all.
    std::uint64_t resent = 0;
    double seconds = 0;
    std::map<std::string, std::uint64_t> refusals; ///< Texts of refusals with their number.
};

/// Sends requests at a fixed rate, whatever the answers take, and checks every answer.
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
    bool send(ThreadState &state, const HttpCall &call, const std::string &token,
              std::string_view &run);
    void printProgress(std::vector<ThreadState> &states);

    LoadSettings m_settings;
    HttpClient m_client;
    Instant m_start;
    std::atomic<std::uint64_t> m_next = 0;
    std::atomic<bool> m_done = false;
};

} // namespace guavashift
