#include <Guavashift/Channel/FrameListener.h>

#include <Guavashift/Core/Address.h>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Stream.h>

namespace guavashift {

namespace {

constexpr int listenBacklog = 512;

} // namespace

FrameListener::FrameListener(EventLoop &loop, OnAccept onAccept)
    : m_loop(loop)
    , m_onAccept(std::move(onAccept))
{
}

FrameListener::~FrameListener()
{
    if (m_acceptor.get_handle() == ACE_INVALID_HANDLE)
        return;
    m_loop.reactor().remove_handler(
        this, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    m_acceptor.close();
}

Result<void> FrameListener::open(const std::string &address)
{
    const Result<Address> parsed = Address::parse(address);
    if (!parsed)
        return tl::unexpected(parsed.error());
    const ACE_INET_Addr local(parsed->port, parsed->ip.c_str());
    constexpr int reuseAddress = 1;
    if (m_acceptor.open(local, reuseAddress, PF_INET, listenBacklog) != 0)
        return fail(ErrorCode::Io, "cannot listen on " + address);
    m_acceptor.enable(ACE_NONBLOCK);
    reactor(&m_loop.reactor());
    m_loop.reactor().register_handler(this, ACE_Event_Handler::ACCEPT_MASK);
    return {};
}

int FrameListener::handle_input(ACE_HANDLE)
{
    ACE_SOCK_Stream stream;
    while (m_acceptor.accept(stream) == 0) {
        m_onAccept(stream.get_handle());
        stream.set_handle(ACE_INVALID_HANDLE);
    }
    return 0;
}

} // namespace guavashift
