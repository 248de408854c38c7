#pragma once

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace guavashift {

class RpcConnection;

/// Receives the complete frames of a server's connections.
class RpcFrameSink
{
public:
    virtual ~RpcFrameSink() = default;
    virtual void frameReceived(std::shared_ptr<RpcConnection> connection, std::string frame) = 0;
};

/// One accepted connection. Reads frames on the reactor thread; send() and close() are thread-safe.
class RpcConnection final : public ACE_Event_Handler,
                            public std::enable_shared_from_this<RpcConnection>
{
public:
    RpcConnection(const ACE_SOCK_Stream &stream, std::string hello, std::size_t maxFrameBytes,
                  RpcFrameSink &sink);
    ~RpcConnection() override;

    /// Sends one frame. Shuts the connection down if the peer does not read it within a second.
    void send(const std::string &payload);
    void close();
    [[nodiscard]] bool isClosed() const { return m_isClosed; }

    ACE_HANDLE get_handle() const override { return m_stream.get_handle(); }
    int handle_input(ACE_HANDLE handle) override;
    int handle_close(ACE_HANDLE handle, ACE_Reactor_Mask mask) override;

private:
    /// Passes complete frames to the sink. Returns false if the peer violates the protocol.
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
