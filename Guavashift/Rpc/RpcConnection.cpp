#include <Guavashift/Core/Core.h>
#include <Guavashift/Rpc/FrameIo.h>
#include <Guavashift/Rpc/RpcConnection.h>

#include <netinet/tcp.h>
#include <utility>

namespace guavashift {

namespace {

constexpr std::size_t readBytes = 64 << 10;
const ACE_Time_Value sendTimeout(1);

/// Compares in time that does not depend on where the texts differ, to reveal nothing of the key.
bool constantTimeEquals(std::string_view left, std::string_view right)
{
    unsigned difference = left.size() == right.size() ? 0 : 1;
    for (std::size_t i = 0; i < left.size() && i < right.size(); ++i)
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    return difference == 0;
}

} // namespace

RpcConnection::RpcConnection(const ACE_SOCK_Stream &stream, std::string hello,
                             std::size_t maxFrameBytes, RpcFrameSink &sink)
    : m_stream(stream)
    , m_hello(std::move(hello))
    , m_maxFrameBytes(maxFrameBytes)
    , m_sink(sink)
{
    int enabled = 1;
    m_stream.set_option(IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

RpcConnection::~RpcConnection()
{
    close();
}

void RpcConnection::send(const std::string &payload)
{
    const std::lock_guard lock(m_sendMutex);
    if (m_isClosed)
        return;
    const std::string frame = FrameHeader::encode(payload.size()) + payload;
    // A peer that does not read its answers is disconnected.
    if (m_stream.send_n(frame.data(), frame.size(), &sendTimeout)
        != static_cast<ssize_t>(frame.size()))
        ACE_OS::shutdown(m_stream.get_handle(), SHUT_RDWR);
}

void RpcConnection::close()
{
    const std::lock_guard lock(m_sendMutex);
    if (!m_isClosed.exchange(true))
        m_stream.close();
}

int RpcConnection::handle_input(ACE_HANDLE)
{
    char bytes[readBytes];
    const ssize_t count = m_stream.recv(bytes, sizeof(bytes));
    if (count <= 0)
        return -1;
    m_input.append(bytes, static_cast<std::size_t>(count));
    return extractFrames() ? 0 : -1;
}

int RpcConnection::handle_close(ACE_HANDLE, ACE_Reactor_Mask)
{
    close();
    return 0;
}

bool RpcConnection::extractFrames()
{
    std::size_t taken = 0;
    while (m_input.size() - taken >= FrameHeader::bytes) {
        const std::size_t size = FrameHeader::decode(m_input.data() + taken);
        const std::size_t limit = m_isAuthenticated ? m_maxFrameBytes : m_hello.size();
        if (size > limit) {
            logEvent(LogLevel::Warning, "rpc-frame-refused", {{"bytes", size}});
            return false;
        }
        if (m_input.size() - taken - FrameHeader::bytes < size)
            break;
        std::string frame = m_input.substr(taken + FrameHeader::bytes, size);
        taken += FrameHeader::bytes + size;
        if (m_isAuthenticated) {
            m_sink.frameReceived(shared_from_this(), std::move(frame));
            continue;
        }
        // The first frame must contain the same cluster id and key.
        if (!constantTimeEquals(frame, m_hello)) {
            logEvent(LogLevel::Warning, "rpc-peer-refused",
                     {{"reason", "wrong cluster id or key"}});
            return false;
        }
        m_isAuthenticated = true;
    }
    m_input.erase(0, taken);
    return true;
}

} // namespace guavashift
