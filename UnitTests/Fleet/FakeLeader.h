#pragma once

#include <Guavashift/Channel/Channel.h>
#include <Guavashift/Fleet/FleetMessages.h>

namespace guavashift {

/// A control process that always claims to lead and answers calls with the result that the test
/// sets. For use on the event loop's thread only.
class FakeLeader final
{
public:
    FakeLeader(EventLoop &loop, const std::string &address);

    /// Sets the result that every call gets from now on; empty: calls get no answer.
    void setResult(std::optional<CallResult> result) { m_result = result; }
    /// Answers all calls received so far whose connection is still open.
    void answerAll(CallResult result);
    /// Closes all connections. Peers may open new ones at once.
    void disconnect() { m_connections.clear(); }
    /// Sends a message to all peers.
    void sendToAll(const FleetMessage &message);
    /// Grants all leases that were asked for so far.
    void grantAll();
    /// Lists of runs received from agents.
    [[nodiscard]] const std::vector<RunTable> &tables() const { return m_tables; }
    /// Reports of workers received from agents.
    [[nodiscard]] const std::vector<WorkerFacts> &workers() const { return m_workers; }
    [[nodiscard]] const std::vector<FleetMessage> &messages() const { return m_messages; }
    /// All messages of one kind received in sessions, in order.
    template <typename Message> [[nodiscard]] std::vector<Message> all() const
    {
        std::vector<Message> found;
        for (const FleetMessage &each : m_messages) {
            if (const auto *message = std::get_if<Message>(&each))
                found.push_back(*message);
        }
        return found;
    }
    /// Number of calls received, including resent ones.
    [[nodiscard]] std::size_t calls() const { return m_calls.size(); }

private:
    struct Received
    {
        std::uint64_t connection = 0;
        std::uint64_t call = 0;
    };

    void accept(ACE_HANDLE handle);
    void received(std::uint64_t connection, std::string_view frame);
    void send(std::uint64_t connection, const FleetMessage &message);

    EventLoop &m_loop;
    FrameListener m_listener;
    std::map<std::uint64_t, std::unique_ptr<FrameConnection>> m_connections;
    std::uint64_t m_nextConnection = 1;
    std::vector<Received> m_calls;
    std::vector<FleetMessage> m_messages;
    std::vector<RunTable> m_tables;
    std::vector<WorkerFacts> m_workers;
    std::optional<CallResult> m_result;
};

} // namespace guavashift
