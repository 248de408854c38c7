#include <Guavashift/Core/Address.h>
#include <StandIns/PathProxy.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace guavashift {

namespace {

constexpr int pollMs = 5;
constexpr int backlog = 1024;
constexpr std::size_t chunk = 65536;

std::optional<sockaddr_in> socketAddressOf(const std::string &text)
{
    const Result<Address> address = Address::parse(text);
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    if (!address || ::inet_pton(AF_INET, address->ip.c_str(), &parsed.sin_addr) != 1)
        return std::nullopt;
    parsed.sin_port = htons(address->port);
    return parsed;
}

int openSocket()
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return handle;
}

int connectTo(const std::string &text)
{
    const std::optional<sockaddr_in> address = socketAddressOf(text);
    const int handle = openSocket();
    if (!address
        || ::connect(handle, reinterpret_cast<const sockaddr *>(&*address), sizeof(*address))
            != 0) {
        ::close(handle);
        return -1;
    }
    return handle;
}

void resetConnection(int handle)
{
    const linger atOnce{1, 0};
    ::setsockopt(handle, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
    ::close(handle);
}

bool sendAll(int handle, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/// Whether `bytes` hold a whole HTTP answer. Only answers with a Content-Length are understood.
bool isWholeAnswer(std::string_view bytes)
{
    constexpr std::string_view headersEnd = "\r\n\r\n";
    constexpr std::string_view lengthName = "\r\ncontent-length:";
    const std::size_t end = bytes.find(headersEnd);
    if (end == std::string_view::npos)
        return false;
    std::string headers(bytes.substr(0, end));
    std::transform(headers.begin(), headers.end(), headers.begin(),
                   [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
    const std::size_t at = headers.find(lengthName);
    const std::size_t length =
        at == std::string::npos ? 0 : std::stoul(headers.substr(at + lengthName.size()));
    return bytes.size() >= end + headersEnd.size() + length;
}

/// The answer with a header that announces the end of its connection.
std::string closingAnswer(std::string answer)
{
    answer.insert(answer.find("\r\n") + 2, "Connection: close\r\n");
    return answer;
}

} // namespace

std::optional<PathState> pathStateOf(std::string_view name)
{
    constexpr std::array<std::string_view, 4> names{"pass", "silent", "refuse", "late"};
    const auto *const found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<PathState>(found - names.begin());
}

PathProxy::PathProxy(const PathProxySettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
}

PathProxy::~PathProxy()
{
    closeListener();
    setState(PathState::Refuse);
    while (m_connections > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(pollMs));
}

void PathProxy::setState(PathState state)
{
    const PathState before = m_state.exchange(state);
    const bool breaks = state == PathState::Silent || state == PathState::Refuse;
    if (breaks && before != state)
        ++m_breaks;
}

bool PathProxy::serve(Duration wait)
{
    if (m_state == PathState::Refuse) {
        closeListener();
        std::this_thread::sleep_for(wait);
        return true;
    }
    if (m_listener < 0 && !openListener())
        return false;
    pollfd listener{m_listener, POLLIN, 0};
    if (::poll(&listener, 1, static_cast<int>(toMs(wait))) <= 0)
        return true;
    const int client = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0)
        return true;
    ++m_connections;
    std::thread([this, client] {
        handle(client);
        --m_connections;
    }).detach();
    return true;
}

bool PathProxy::openListener()
{
    const std::optional<sockaddr_in> address = socketAddressOf(m_settings.listen);
    m_listener = openSocket();
    if (address
        && ::bind(m_listener, reinterpret_cast<const sockaddr *>(&*address), sizeof(*address)) == 0
        && ::listen(m_listener, backlog) == 0)
        return true;
    closeListener();
    return false;
}

void PathProxy::closeListener()
{
    if (m_listener >= 0)
        ::close(m_listener);
    m_listener = -1;
}

void PathProxy::handle(int client)
{
    const int on = 1;
    ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::uint32_t breaks = m_breaks;
    if (m_state == PathState::Silent) {
        waitWhileSilent();
        return resetConnection(client);
    }
    const int server = connectTo(m_settings.target);
    if (server < 0)
        return resetConnection(client);
    const bool endsInOrder = forward(client, server, breaks);
    waitWhileSilent();
    if (endsInOrder && m_breaks == breaks)
        ::close(client);
    else
        resetConnection(client);
    ::close(server);
}

bool PathProxy::forward(int client, int server, std::uint32_t breaks)
{
    std::string buffer(chunk, '\0');
    std::string answer;
    std::array<pollfd, 2> both{pollfd{client, POLLIN, 0}, pollfd{server, POLLIN, 0}};
    for (;;) {
        const int ready = ::poll(both.data(), both.size(), pollMs);
        if (ready < 0 || m_breaks != breaks)
            return false;
        if (ready == 0)
            continue;
        const bool fromClient = (both[0].revents & (POLLIN | POLLHUP | POLLERR)) != 0;
        const ssize_t count = ::recv(fromClient ? client : server, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            return true;
        const std::string_view bytes(buffer.data(), static_cast<std::size_t>(count));
        if (fromClient) {
            if (!sendAll(server, bytes))
                return true;
            continue;
        }
        delayAnswer();
        if (m_breaks != breaks)
            return false;
        if (!m_settings.closesAfterAnswer) {
            if (!sendAll(client, bytes))
                return true;
            continue;
        }
        answer += bytes;
        if (isWholeAnswer(answer)) {
            sendAll(client, closingAnswer(std::move(answer)));
            return true;
        }
    }
}

void PathProxy::waitWhileSilent() const
{
    while (m_state == PathState::Silent)
        std::this_thread::sleep_for(std::chrono::milliseconds(pollMs));
}

void PathProxy::delayAnswer()
{
    if (m_state != PathState::Late)
        return;
    std::int64_t delayMs = 0;
    {
        const std::lock_guard lock(m_randomMutex);
        delayMs =
            std::uniform_int_distribution<std::int64_t>(0, toMs(m_settings.latestAnswer))(m_random);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(delayMs));
}

} // namespace guavashift
