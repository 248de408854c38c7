#pragma once

#include <Guavashift/Channel/Channel.h>
#include <Guavashift/Fleet/FleetMessages.h>

namespace guavashift {

/// A control process that always says that it leads, and answers calls as the test says. On an
/// event loop's thread.
class FakeLeader final
{
public:
    FakeLeader(EventLoop &loop, const std::string &address);

    /// What every call is answered from now on; nothing: calls wait.
    void setResult(std::optional<CallResult> result) { m_result = result; }
    /// Answers the calls that came so far, over the connections that are still open.
    void answerAll(CallResult result);
    /// Closes all connections; the others may open new ones at once.
    void disconnect() { m_connections.clear(); }
    /// How often a call came, resent ones included.
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
    std::optional<CallResult> m_result;
};

} // namespace guavashift
