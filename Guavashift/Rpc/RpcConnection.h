#pragma once

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace guavashift {

class RpcConnection;

/// Receives the whole frames of a server's connections.
class RpcFrameSink
{
public:
    virtual ~RpcFrameSink() = default;
    virtual void frameReceived(std::shared_ptr<RpcConnection> connection, std::string frame) = 0;
};

/// One accepted connection: reads frames on the reactor's thread, sends answers from any thread.
class RpcConnection final : public ACE_Event_Handler,
                            public std::enable_shared_from_this<RpcConnection>
{
public:
    RpcConnection(const ACE_SOCK_Stream &stream, std::string hello, std::size_t maxFrameBytes,
                  RpcFrameSink &sink);
    ~RpcConnection() override;

    void send(const std::string &payload);
    void close();
    [[nodiscard]] bool isClosed() const { return m_isClosed; }

    ACE_HANDLE get_handle() const override { return m_stream.get_handle(); }
    int handle_input(ACE_HANDLE handle) override;
    int handle_close(ACE_HANDLE handle, ACE_Reactor_Mask mask) override;

private:
    /// Passes on whole frames. Returns false if the peer breaks the protocol.
    bool extractFrames();

    ACE_SOCK_Stream m_stream;
    std::string m_hello;
    std::size_t m_maxFrameBytes;
    RpcFrameSink &m_sink;
    std::string m_input;
    bool m_isAuthenticated = false;
    std::mutex m_sendMutex;
    std::atomic<bool> m_isClosed = false;
};

} // namespace guavashift
