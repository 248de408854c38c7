#pragma once

#include <Guavashift/Channel/FrameConnection.h>

#include <ace/SOCK_Acceptor.h>

namespace guavashift {

/// Accepts connections for FrameConnection at one address, on an event loop's thread.
class FrameListener final : public ACE_Event_Handler
{
public:
    using OnAccept = std::function<void(ACE_HANDLE)>;

    FrameListener(EventLoop &loop, OnAccept onAccept);
    ~FrameListener() override;
    FrameListener(const FrameListener &) = delete;
    FrameListener &operator=(const FrameListener &) = delete;

    /// Starts to listen at "IP:port".
    Result<void> open(const std::string &address);

    // ACE_Event_Handler
    ACE_HANDLE get_handle() const override { return m_acceptor.get_handle(); } // NOLINT
    int handle_input(ACE_HANDLE) override;                                     // NOLINT
    int handle_close(ACE_HANDLE, ACE_Reactor_Mask) override { return 0; }      // NOLINT

private:
    EventLoop &m_loop;
    OnAccept m_onAccept;
    ACE_SOCK_Acceptor m_acceptor;
};

} // namespace guavashift
