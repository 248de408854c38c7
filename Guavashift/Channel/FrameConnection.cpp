#include <Guavashift/Channel/FrameConnection.h>

#include <Guavashift/Core/Address.h>

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace guavashift {

namespace {

constexpr std::size_t headerBytes = 4;
constexpr std::size_t readBytes = 64 << 10;
/// Checks of peer timeout and keep-alive per keep-alive interval.
constexpr int checksPerKeepAlive = 2;

void prepareSocket(int handle, Duration peerTimeout)
{
    const int on = 1;
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto timeout = static_cast<unsigned>(toMs(peerTimeout));
    setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
    fcntl(handle, F_SETFL, fcntl(handle, F_GETFL, 0) | O_NONBLOCK); // NOLINT
}

} // namespace

FrameConnection::FrameConnection(EventLoop &loop, const ChannelSettings &settings)
    : m_loop(loop)
    , m_settings(settings)
{
}

FrameConnection::~FrameConnection()
{
    *m_alive = false;
    close();
}

void FrameConnection::setHandlers(OnFrame onFrame, OnClosed onClosed)
{
    m_onFrame = std::move(onFrame);
    m_onClosed = std::move(onClosed);
}

void FrameConnection::adopt(ACE_HANDLE handle)
{
    prepareSocket(handle, m_settings.peerTimeout);
    start(handle, false);
}

void FrameConnection::connect(const std::string &address)
{
    const Result<Address> parsed = Address::parse(address);
    const int handle = parsed ? ::socket(AF_INET, SOCK_STREAM, 0) : -1;
    m_connectStarted = BootClock::now();
    if (handle < 0) {
        m_loop.post([this, alive = m_alive] {
            if (*alive)
                closeAndNotify("invalid address or no free socket");
        });
        return;
    }
    prepareSocket(handle, m_settings.peerTimeout);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(parsed->port);
    inet_pton(AF_INET, parsed->ip.c_str(), &target.sin_addr);
    const int result = ::connect(handle, reinterpret_cast<sockaddr *>(&target), sizeof(target));
    if (result != 0 && errno != EINPROGRESS) {
        ::close(handle);
        m_loop.post([this, alive = m_alive] {
            if (*alive)
                closeAndNotify("the peer is unreachable");
        });
        return;
    }
    start(handle, result != 0);
}

void FrameConnection::start(ACE_HANDLE handle, bool connecting)
{
    m_handle = handle;
    m_connecting = connecting;
    m_connectStarted = m_lastInput = m_lastOutput = BootClock::now();
    m_hasWriteInterest = connecting;
    reactor(&m_loop.reactor());
    m_loop.reactor().register_handler(this,
                                      connecting ? ACE_Event_Handler::READ_MASK
                                              | ACE_Event_Handler::WRITE_MASK
                                                 : ACE_Event_Handler::READ_MASK);
    startKeepAliveTimer();
    if (!connecting)
        flush();
}

void FrameConnection::startKeepAliveTimer()
{
    m_keepAliveTimer = m_loop.after(m_settings.keepAliveInterval / checksPerKeepAlive, [this] {
        m_keepAliveTimer = 0;
        const Instant now = BootClock::now();
        if (m_connecting && now - m_connectStarted > m_settings.connectTimeout) {
            // A busy loop may not have handled yet that the connection is established.
            const std::shared_ptr<bool> alive = m_alive;
            finishConnecting();
            if (!*alive || !isOpen())
                return;
            if (m_connecting)
                return closeAndNotify("connecting timed out");
        }
        if (!m_connecting && now - m_lastInput > m_settings.peerTimeout) {
            // A busy loop may not have read yet what has arrived.
            const std::shared_ptr<bool> alive = m_alive;
            readAvailable();
            if (!*alive || !isOpen())
                return;
            if (now - m_lastInput > m_settings.peerTimeout)
                return closeAndNotify("silent");
        }
        // An empty frame keeps the peer from closing this connection as dead.
        if (!m_connecting && m_output.empty() && now - m_lastOutput >= m_settings.keepAliveInterval)
            send({});
        if (isOpen() && m_keepAliveTimer == 0)
            startKeepAliveTimer();
    });
}

void FrameConnection::send(std::string_view frame)
{
    if (m_output.size() - m_outputSent + frame.size() > m_settings.maxQueuedBytes)
        return closeAndNotify("the peer does not read");
    const auto length = htonl(static_cast<std::uint32_t>(frame.size()));
    char header[headerBytes]; // NOLINT
    std::memcpy(header, &length, headerBytes);
    m_output.append(header, headerBytes);
    m_output.append(frame);
    if (isOpen() && !m_connecting && !m_hasWriteInterest)
        flush();
}

void FrameConnection::flush()
{
    while (m_outputSent < m_output.size()) {
        const ssize_t sent = ::send(m_handle, m_output.data() + m_outputSent,
                                    m_output.size() - m_outputSent, MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return setWriteInterest(true);
        if (sent <= 0)
            return closeAndNotify("sending failed");
        m_outputSent += static_cast<std::size_t>(sent);
        m_bytesWritten += static_cast<std::uint64_t>(sent);
        m_lastOutput = BootClock::now();
    }
    m_output.clear();
    m_outputSent = 0;
    setWriteInterest(false);
}

void FrameConnection::setWriteInterest(bool wanted)
{
    if (wanted == m_hasWriteInterest)
        return;
    m_hasWriteInterest = wanted;
    m_loop.reactor().mask_ops(this, ACE_Event_Handler::WRITE_MASK,
                              wanted ? ACE_Reactor::ADD_MASK : ACE_Reactor::CLR_MASK);
}

void FrameConnection::finishConnecting()
{
    pollfd state{m_handle, POLLOUT, 0};
    if (::poll(&state, 1, 0) > 0)
        handle_output(m_handle);
}

int FrameConnection::handle_output(ACE_HANDLE)
{
    if (m_connecting) {
        int error = 0;
        socklen_t length = sizeof(error);
        getsockopt(m_handle, SOL_SOCKET, SO_ERROR, &error, &length);
        if (error != 0) {
            closeAndNotify("connecting failed");
            return 0;
        }
        m_connecting = false;
        m_lastInput = BootClock::now();
    }
    flush();
    return 0;
}

int FrameConnection::handle_input(ACE_HANDLE)
{
    if (m_connecting) {
        handle_output(m_handle);
        if (!isOpen() || m_connecting)
            return 0;
    }
    const std::shared_ptr<bool> alive = m_alive;
    for (;;) {
        const std::size_t before = m_input.size();
        m_input.resize(before + readBytes);
        const ssize_t received = ::recv(m_handle, m_input.data() + before, readBytes, 0);
        m_input.resize(before + static_cast<std::size_t>(std::max<ssize_t>(received, 0)));
        if (received < 0 && errno == EINTR)
            continue;
        if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return 0;
        if (received <= 0) {
            closeAndNotify(received == 0 ? "closed by the peer" : "receiving failed");
            return 0;
        }
        m_lastInput = BootClock::now();
        dispatchFrames();
        if (!*alive || !isOpen() || static_cast<std::size_t>(received) < readBytes)
            return 0;
    }
}

void FrameConnection::readAvailable()
{
    if (isOpen() && !m_connecting)
        handle_input(m_handle);
}

void FrameConnection::sendQueued()
{
    if (isOpen() && m_connecting)
        finishConnecting();
    else if (isOpen() && !m_output.empty())
        flush();
}

void FrameConnection::dispatchFrames()
{
    const std::shared_ptr<bool> alive = m_alive;
    std::string input = std::exchange(m_input, {});
    std::string_view remaining = input;
    while (remaining.size() >= headerBytes) {
        std::uint32_t length = 0;
        std::memcpy(&length, remaining.data(), headerBytes);
        length = ntohl(length);
        if (length > m_settings.maxFrameBytes)
            return closeAndNotify("received a frame above the size limit");
        if (remaining.size() - headerBytes < length)
            break;
        const std::string_view frame = remaining.substr(headerBytes, length);
        remaining.remove_prefix(headerBytes + length);
        if (length > 0 && m_onFrame)
            m_onFrame(frame);
        if (!*alive || !isOpen())
            return;
    }
    m_input.assign(remaining);
}

int FrameConnection::handle_close(ACE_HANDLE, ACE_Reactor_Mask)
{
    return 0;
}

void FrameConnection::close()
{
    if (m_keepAliveTimer != 0)
        m_loop.cancel(std::exchange(m_keepAliveTimer, 0));
    if (!isOpen())
        return;
    const ACE_HANDLE handle = std::exchange(m_handle, ACE_INVALID_HANDLE);
    m_loop.reactor().remove_handler(
        handle, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    ::close(handle);
}

void FrameConnection::closeAndNotify(std::string_view reason)
{
    close();
    if (m_onClosed) {
        // Posted, so that the owner can destroy this object in onClosed without one of its
        // functions still running.
        m_loop.post([alive = m_alive, closed = m_onClosed, text = std::string(reason)] {
            if (*alive)
                closed(text);
        });
    }
}

} // namespace guavashift
