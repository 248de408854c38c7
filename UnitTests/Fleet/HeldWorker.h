#pragma once

#include <Guavashift/Fleet/WorkerPort.h>

#include <utility>

namespace guavashift {

/// A worker that keeps the calls that it gets, so that the test answers them one by one. Throttle
/// calls are dropped.
class HeldWorker final : public WorkerPort
{
public:
    template <typename Request> struct Call
    {
        Request request;
        Callback callback;

        /// Answers the call, unless it was answered before. Invalidates references to calls.
        void answer(const WorkerReply &reply)
        {
            if (const Callback answered = std::exchange(callback, nullptr))
                answered(reply);
        }
    };

    void poll(const PollRequest &request, Callback callback) override
    {
        m_polls.push_back({request, std::move(callback)});
    }
    void probe(const ProbeRequest &request, Callback callback) override
    {
        m_probes.push_back({request, std::move(callback)});
    }
    void start(const StartRequest &request, Callback callback) override
    {
        m_starts.push_back({request, std::move(callback)});
    }
    void stop(const StopRequest &request, Callback callback) override
    {
        m_stops.push_back({request, std::move(callback)});
    }
    void throttle(const ThrottleRequest &, Callback) override { }

    /// Answers all open polls.
    void answerPolls(const WorkerReply &reply)
    {
        // An answer may lead to further polls.
        for (std::size_t i = 0; i < m_polls.size(); ++i) {
            if (Callback callback = std::exchange(m_polls[i].callback, nullptr))
                callback(reply);
        }
    }
    /// All polls so far, including answered ones.
    [[nodiscard]] std::vector<Call<PollRequest>> &polls() { return m_polls; }
    /// All probes so far, including answered ones.
    [[nodiscard]] std::vector<Call<ProbeRequest>> &probes() { return m_probes; }
    /// All starts so far, including answered ones.
    [[nodiscard]] std::vector<Call<StartRequest>> &starts() { return m_starts; }
    /// All stops so far, including answered ones.
    [[nodiscard]] std::vector<Call<StopRequest>> &stops() { return m_stops; }

private:
    std::vector<Call<PollRequest>> m_polls;
    std::vector<Call<ProbeRequest>> m_probes;
    std::vector<Call<StartRequest>> m_starts;
    std::vector<Call<StopRequest>> m_stops;
};

} // namespace guavashift
