#include <StandIns/ClientCrowd.h>

#include <Guavashift/Core/Address.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace guavashift {

namespace {

constexpr std::size_t pieceBytes = 4096;
constexpr std::size_t announcedBytes = 64 << 20;
/// By which a body of announced length stays short.
constexpr std::size_t missingBytes = 10;
/// Repetitions of small units are sent together.
constexpr std::size_t leastUnitBytes = 4096;
/// Small, so that answers are not kept in the system's buffers.
constexpr int unreadReceiveBytes = 4096;
/// The crowd is complete once nobody could send for this long.
constexpr Duration stillTime = std::chrono::seconds(2);
constexpr int pollMs = 100;

constexpr std::array<std::pair<std::string_view, CrowdKind>, 8> kindNames{
    {{"whole", CrowdKind::Whole},
     {"pieces", CrowdKind::Pieces},
     {"chunks", CrowdKind::Chunks},
     {"tiny-chunks", CrowdKind::TinyChunks},
     {"announced", CrowdKind::Announced},
     {"unread", CrowdKind::Unread},
     {"headers", CrowdKind::Headers},
     {"silent", CrowdKind::Silent}}};

std::string repeated(std::string_view text)
{
    std::string whole(text);
    while (whole.size() < leastUnitBytes)
        whole += text;
    return whole;
}

} // namespace

std::optional<CrowdKind> crowdKindOf(std::string_view name)
{
    const auto *const found = std::find_if(kindNames.begin(), kindNames.end(),
                                           [name](const auto &each) { return each.first == name; });
    return found == kindNames.end() ? std::nullopt : std::optional(found->second);
}

ClientCrowd::ClientCrowd(const CrowdSettings &settings)
    : m_settings(settings)
    , m_head(head())
    , m_unit(unit())
    , m_clients(settings.clients)
{
    switch (settings.kind) {
    case CrowdKind::Silent:
        break;
    case CrowdKind::Whole:
    case CrowdKind::Pieces:
        m_totalBytes = m_head.size() + settings.bytes - std::min(settings.bytes, missingBytes);
        break;
    case CrowdKind::Chunks:
        m_totalBytes = m_head.size() + settings.bytes / pieceBytes * m_unit.size();
        break;
    case CrowdKind::TinyChunks:
        // Six bytes for each one.
        m_totalBytes = m_head.size() + settings.bytes * 6;
        break;
    case CrowdKind::Headers:
        m_totalBytes = settings.bytes;
        break;
    case CrowdKind::Announced:
    case CrowdKind::Unread:
        m_totalBytes = m_head.size() + settings.bytes;
        break;
    }
}

ClientCrowd::~ClientCrowd()
{
    for (const Client &client : m_clients) {
        if (client.socket >= 0)
            ::close(client.socket);
    }
}

std::string ClientCrowd::head() const
{
    std::string request = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", m_settings.method,
                                      m_settings.path, m_settings.host);
    const auto withLength = [&request](std::size_t bytes) {
        return request
            + fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n", bytes);
    };
    switch (m_settings.kind) {
    case CrowdKind::Whole:
    case CrowdKind::Pieces:
        return withLength(m_settings.bytes);
    case CrowdKind::Announced:
        return withLength(announcedBytes);
    case CrowdKind::Chunks:
    case CrowdKind::TinyChunks:
        return request + "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    case CrowdKind::Headers:
        return request;
    case CrowdKind::Unread:
    case CrowdKind::Silent:
        break;
    }
    return {};
}

std::string ClientCrowd::unit() const
{
    switch (m_settings.kind) {
    case CrowdKind::Chunks:
        return fmt::format("{:x}\r\n{}\r\n", pieceBytes, std::string(pieceBytes, 'x'));
    case CrowdKind::TinyChunks:
        return repeated("1\r\nx\r\n");
    case CrowdKind::Headers:
        return repeated("a:b\r\n");
    case CrowdKind::Unread:
        return repeated(
            fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", m_settings.path, m_settings.host));
    case CrowdKind::Whole:
    case CrowdKind::Pieces:
    case CrowdKind::Announced:
    case CrowdKind::Silent:
        break;
    }
    return std::string(pieceBytes, 'x');
}

bool ClientCrowd::hasSentAll(const Client &client) const
{
    return client.sent >= m_totalBytes;
}

bool ClientCrowd::open(Client &client) const
{
    const Result<Address> address = Address::parse(m_settings.target);
    if (!address)
        return false;
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address->port);
    inet_pton(AF_INET, address->ip.c_str(), &target.sin_addr);
    client.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_settings.kind == CrowdKind::Unread)
        ::setsockopt(client.socket, SOL_SOCKET, SO_RCVBUF, &unreadReceiveBytes,
                     sizeof unreadReceiveBytes);
    return ::connect(client.socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0
        || errno == EINPROGRESS;
}

bool ClientCrowd::sendSome(Client &client)
{
    std::string_view part;
    if (client.sent < m_head.size()) {
        part = std::string_view(m_head).substr(client.sent);
    } else {
        part = std::string_view(m_unit).substr((client.sent - m_head.size()) % m_unit.size());
    }
    part = part.substr(0, m_totalBytes - client.sent);
    const ssize_t sent = ::send(client.socket, part.data(), part.size(), MSG_NOSIGNAL);
    if (sent < 0) {
        if (errno == EAGAIN)
            return false;
        ::close(client.socket);
        client.socket = -1;
        return true;
    }
    client.sent += static_cast<std::size_t>(sent);
    m_sentBytes += static_cast<std::uint64_t>(sent);
    return true;
}

bool ClientCrowd::send()
{
    for (Client &client : m_clients) {
        if (!open(client))
            return false;
    }
    // All but the bodies that come in pieces follow each other closely on their connection.
    const std::size_t turns = m_settings.kind == CrowdKind::Pieces ? 1 : 64;
    Instant lastProgress = BootClock::now();
    while (BootClock::now() - lastProgress < stillTime) {
        std::vector<pollfd> waiting;
        std::vector<Client *> clients;
        for (Client &client : m_clients) {
            if (client.socket < 0 || hasSentAll(client))
                continue;
            waiting.push_back({client.socket, POLLOUT, 0});
            clients.push_back(&client);
        }
        if (waiting.empty())
            return true;
        ::poll(waiting.data(), waiting.size(), pollMs);
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            if (waiting[i].revents == 0)
                continue;
            for (std::size_t turn = 0; turn < turns && clients[i]->socket >= 0
                 && !hasSentAll(*clients[i]) && sendSome(*clients[i]);
                 ++turn)
                lastProgress = BootClock::now();
        }
    }
    return true;
}

std::size_t ClientCrowd::openConnections() const
{
    return static_cast<std::size_t>(
        std::count_if(m_clients.begin(), m_clients.end(), [](const Client &client) {
            char next = 0;
            const ssize_t received =
                client.socket < 0 ? 0 : ::recv(client.socket, &next, 1, MSG_PEEK | MSG_DONTWAIT);
            return received > 0 || (received < 0 && errno == EAGAIN);
        }));
}

} // namespace guavashift
