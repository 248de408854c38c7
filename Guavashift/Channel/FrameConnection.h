#pragma once

#include <Guavashift/Channel/EventLoop.h>

#include <ace/SOCK_Stream.h>

#include <string>
#include <string_view>

namespace guavashift {

struct ChannelSettings
{
    /// A quiet connection sends an empty frame this often, so that a silent one can be told.
    Duration keepAliveInterval = std::chrono::milliseconds(500);
    /// A connection that brought nothing for this long is taken for dead.
    Duration peerTimeout = std::chrono::milliseconds(1600);
    /// Longest wait for a connection to be made.
    Duration connectTimeout = std::chrono::milliseconds(700);
    /// Frames larger than this close the connection.
    std::size_t maxFrameBytes = 16 << 20;
    /// What waits to be sent; a peer that does not read is cut off above this.
    std::size_t maxQueuedBytes = 32 << 20;
};

/// Frames of bytes over one TCP connection in both directions, on an event loop's thread. Deletes
/// nothing of its own: the owner holds it and drops it after `onClosed`.
class FrameConnection final : public ACE_Event_Handler
{
public:
    using OnFrame = std::function<void(std::string_view)>;
    using OnClosed = std::function<void(std::string_view reason)>;

    FrameConnection(EventLoop &loop, const ChannelSettings &settings);
    ~FrameConnection() override;
    FrameConnection(const FrameConnection &) = delete;
    FrameConnection &operator=(const FrameConnection &) = delete;

    void setHandlers(OnFrame onFrame, OnClosed onClosed);

    /// Takes over an accepted connection.
    void adopt(ACE_HANDLE handle);
    /// Starts to connect to "IP:port"; what is sent meanwhile waits.
    void connect(const std::string &address);

    void send(std::string_view frame);
    /// Closes without calling onClosed.
    void close();
    [[nodiscard]] bool isOpen() const { return m_handle != ACE_INVALID_HANDLE; }

    // ACE_Event_Handler
    ACE_HANDLE get_handle() const override { return m_handle; } // NOLINT
    int handle_input(ACE_HANDLE) override;                      // NOLINT
    int handle_output(ACE_HANDLE) override;                     // NOLINT
    int handle_close(ACE_HANDLE, ACE_Reactor_Mask) override;    // NOLINT

private:
    void start(ACE_HANDLE handle, bool connecting);
    void flush();
    void setWriteInterest(bool wanted);
    void dispatchFrames();
    void closeAndNotify(std::string_view reason);
    void startKeepAliveTimer();

    EventLoop &m_loop;
    ChannelSettings m_settings;
    OnFrame m_onFrame;
    OnClosed m_onClosed;
    ACE_HANDLE m_handle = ACE_INVALID_HANDLE;
    bool m_connecting = false;
    bool m_hasWriteInterest = false;
    std::string m_input;
    std::string m_output;
    std::size_t m_outputSent = 0;
    Instant m_lastInput;
    Instant m_lastOutput;
    Instant m_connectStarted;
    EventLoop::TimerId m_keepAliveTimer = 0;
    /// Cleared by the destructor, so that a callback that drops this object is noticed.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace guavashift
