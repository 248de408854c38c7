#pragma once

#include <Guavashift/Channel/EventLoop.h>

#include <ace/SOCK_Stream.h>

#include <string>
#include <string_view>

namespace guavashift {

struct ChannelSettings
{
    /// An idle connection sends an empty frame this often, so that the peer can detect a dead one.
    Duration keepAliveInterval = std::chrono::milliseconds(500);
    /// A connection that has received nothing for this long is closed as dead.
    Duration peerTimeout = std::chrono::milliseconds(1600);
    /// Time limit for establishing a connection.
    Duration connectTimeout = std::chrono::milliseconds(700);
    /// A received frame above this size closes the connection.
    std::size_t maxFrameBytes = 16 << 20;
    /// Limit of unsent data. The connection to a peer that does not read is closed above it.
    std::size_t maxQueuedBytes = 32 << 20;
};

/// Sends and receives frames over one TCP connection, on an event loop's thread. Does not delete
/// itself: the owner keeps it and destroys it after `onClosed`.
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
    /// Starts to connect to "IP:port". Frames sent meanwhile are queued. A failure is reported to
    /// `onClosed`.
    void connect(const std::string &address);

    void send(std::string_view frame);
    /// Reads the input that has arrived, without waiting for the loop's next event. Not to be
    /// called from a handler of this connection.
    void readAvailable();
    /// Sends what is queued, as far as possible without waiting for the loop's next event. Not to
    /// be called from a handler of this connection.
    void sendQueued();
    /// Closes without calling onClosed.
    void close();
    [[nodiscard]] bool isOpen() const { return m_handle != ACE_INVALID_HANDLE; }
    /// Bytes of all frames that were passed to send(), with their headers.
    [[nodiscard]] std::uint64_t bytesQueued() const
    {
        return m_bytesWritten + (m_output.size() - m_outputSent);
    }
    /// Bytes that the kernel has taken. A frame that was queued behind more than these has not left
    /// this process; nothing is known about the fate of the others.
    [[nodiscard]] std::uint64_t bytesWritten() const { return m_bytesWritten; }
    /// When something was last received; when the connection was established if nothing was.
    [[nodiscard]] Instant lastInput() const { return m_lastInput; }

    // ACE_Event_Handler
    ACE_HANDLE get_handle() const override { return m_handle; } // NOLINT
    int handle_input(ACE_HANDLE) override;                      // NOLINT
    int handle_output(ACE_HANDLE) override;                     // NOLINT
    int handle_close(ACE_HANDLE, ACE_Reactor_Mask) override;    // NOLINT

private:
    void start(ACE_HANDLE handle, bool connecting);
    /// Finishes connecting if the connection is established or has failed, without waiting for the
    /// loop's next event.
    void finishConnecting();
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
    std::uint64_t m_bytesWritten = 0;
    Instant m_lastInput;
    Instant m_lastOutput;
    Instant m_connectStarted;
    EventLoop::TimerId m_keepAliveTimer = 0;
    /// Set to false by the destructor, so that code which runs after a callback, or as posted work,
    /// can tell that this object is gone.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace guavashift
