#include <UnitTests/Fleet/FakeLeader.h>

#include <cppunit/TestAssert.h>

namespace guavashift {

FakeLeader::FakeLeader(EventLoop &loop, const std::string &address)
    : m_loop(loop)
    , m_listener(loop, [this](ACE_HANDLE handle) { accept(handle); })
{
    CPPUNIT_ASSERT(m_listener.open(address));
}

void FakeLeader::accept(ACE_HANDLE handle)
{
    const std::uint64_t id = m_nextConnection++;
    auto connection = std::make_unique<FrameConnection>(m_loop, ChannelSettings{});
    connection->setHandlers([this, id](std::string_view frame) { received(id, frame); },
                            [this, id](std::string_view) { m_connections.erase(id); });
    FrameConnection &adopted = *connection;
    m_connections.emplace(id, std::move(connection));
    adopted.adopt(handle);
}

void FakeLeader::received(std::uint64_t connection, std::string_view frame)
{
    const std::optional<FleetMessage> message = decodeFrame(frame);
    CPPUNIT_ASSERT(message);
    m_messages.push_back(*message);
    std::visit(Overloaded{[&](const LeaderQuery &) {
                              send(connection, LeaderReply{true, {}});
                          },
                          [&](const OpenSession &) {
                              send(connection, SessionOpened{1, 1000});
                          },
                          [&](const FleetCall &call) {
                              m_calls.push_back({connection, call.id});
                              if (m_result)
                                  send(connection, FleetAnswer{call.id, *m_result, "fake", 1});
                          },
                          [&](const RunTable &table) { m_tables.push_back(table); },
                          [&](const WorkerReport &report) { m_workers.push_back(report.facts); },
                          [](const auto &) {}},
               *message);
}

void FakeLeader::sendToAll(const FleetMessage &message)
{
    for (const auto &[id, connection] : m_connections)
        connection->send(encodeFrame(message));
}

void FakeLeader::grantAll()
{
    for (const RenewLease &each : all<RenewLease>())
        sendToAll(LeaseGranted{each.sentAt});
}

void FakeLeader::answerAll(CallResult result)
{
    for (const Received &each : m_calls)
        send(each.connection, FleetAnswer{each.call, result, "fake", 1});
}

void FakeLeader::send(std::uint64_t connection, const FleetMessage &message)
{
    const auto found = m_connections.find(connection);
    if (found != m_connections.end())
        found->second->send(encodeFrame(message));
}

} // namespace guavashift
