#include <Guavashift/Http/HttpServer.h>
#include <Guavashift/Http/MicrohttpdSupport.h>
#include <Guavashift/Http/RequestGuard.h>

#include <atomic>
#include <condition_variable>
#include <fcntl.h>
#include <map>
#include <mutex>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

namespace guavashift {

namespace {

constexpr std::size_t threadStackBytes = 256 << 10;
/// Longest wait of a stopping server for requests in flight.
constexpr Duration drainTimeout = std::chrono::seconds(5);
/// Time in which the first request on a new connection must arrive at a stopping server.
constexpr Duration firstRequestTimeout = std::chrono::milliseconds(500);

/// One connection of a caller.
struct CallerConnection
{
    enum class Phase {
        New,     ///< No request has been read yet.
        Active,  ///< A request is being read or answered.
        Waiting, ///< For the next request.
    };

    MHD_socket socket = MHD_INVALID_SOCKET;
    Phase phase = Phase::New;
};

/// One request in progress.
struct Transfer
{
    HttpRequest request;
    /// Whether the client is cut off, or has its refusal already.
    bool closes = false;
};

MHD_Result addQuery(void *cls, MHD_ValueKind, const char *key, const char *value)
{
    auto &query = *static_cast<std::string *>(cls);
    if (!query.empty())
        query += '&';
    query += key;
    if (value != nullptr) {
        query += '=';
        query += value;
    }
    return MHD_YES;
}

} // namespace

class HttpServer::Implementation final
{
public:
    Implementation(const HttpServerSettings &settings, Handler handler)
        : m_settings(settings)
        , m_handler(std::move(handler))
        , m_guard(settings)
    {
    }

    ~Implementation() { stop(); }

    Result<void> start()
    {
        const Result<sockaddr_in> address = listenAddress(m_settings);
        if (!address)
            return tl::unexpected(address.error());
        m_daemon = MHD_start_daemon(
            MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL
                | MHD_USE_ITC | MHD_USE_TURBO,
            m_settings.port, nullptr, nullptr, &Implementation::onAccess, this,
            MHD_OPTION_SOCK_ADDR, &*address, MHD_OPTION_CONNECTION_LIMIT,
            connectionLimit(m_settings), MHD_OPTION_CONNECTION_TIMEOUT,
            idleSeconds(m_settings.idleTimeout), MHD_OPTION_CONNECTION_MEMORY_LIMIT,
            m_settings.maxHeaderBytes, MHD_OPTION_THREAD_STACK_SIZE, threadStackBytes,
            MHD_OPTION_LISTEN_BACKLOG_SIZE, httpListenBacklog, MHD_OPTION_LISTENING_ADDRESS_REUSE,
            1U, MHD_OPTION_UNESCAPE_CALLBACK, &keepEscapes, nullptr, MHD_OPTION_NOTIFY_COMPLETED,
            &Implementation::onCompleted, this, MHD_OPTION_NOTIFY_CONNECTION,
            &Implementation::onConnection, this, MHD_OPTION_END);
        if (m_daemon == nullptr)
            return tl::unexpected(listenError(m_settings));
        limitReceiveBuffers(m_daemon);
        return {};
    }

    void stop()
    {
        if (m_daemon == nullptr)
            return;
        m_closing = true;
        // From here on new connections are refused, which callers can distinguish from a broken
        // answer.
        const MHD_socket listening = MHD_quiesce_daemon(m_daemon);
        if (listening != MHD_INVALID_SOCKET) {
            acceptPending(listening);
            ::close(listening);
        }
        // Waits until the answers to requests in flight are sent, also to those that have arrived
        // and are not read yet.
        {
            std::unique_lock lock(m_mutex);
            const auto allClosed = [this] { return m_connections.empty() && m_pending.empty(); };
            m_ending = true;
            endReading(CallerConnection::Phase::Waiting);
            if (!m_closed.wait_for(lock, firstRequestTimeout, allClosed)) {
                endReading(CallerConnection::Phase::New);
                m_closed.wait_for(lock, drainTimeout, allClosed);
            }
        }
        MHD_stop_daemon(m_daemon);
        m_daemon = nullptr;
    }

    void startClosing() { m_closing = true; }

    [[nodiscard]] std::uint16_t port() const
    {
        const MHD_DaemonInfo *info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT);
        return info == nullptr ? m_settings.port : info->port;
    }

private:
    static MHD_Result onAccess(void *cls, MHD_Connection *connection, const char *url,
                               const char *method, const char *, const char *uploadData,
                               std::size_t *uploadSize, void **context)
    {
        return static_cast<Implementation *>(cls)->access(connection, url, method, uploadData,
                                                          uploadSize, context);
    }

    static void onCompleted(void *cls, MHD_Connection *connection, void **context,
                            MHD_RequestTerminationCode)
    {
        if (*context == nullptr)
            return;
        static_cast<Implementation *>(cls)->m_guard.finished(connection);
        delete static_cast<Transfer *>(*context);
        *context = nullptr;
        static_cast<Implementation *>(cls)->completed(connection);
    }

    static void onConnection(void *cls, MHD_Connection *connection, void **,
                             MHD_ConnectionNotificationCode code)
    {
        auto &server = *static_cast<Implementation *>(cls);
        if (code == MHD_CONNECTION_NOTIFY_STARTED) {
            server.opened(connection);
            server.m_guard.opened(connection);
        } else {
            server.m_guard.closed(connection);
            server.closed(connection);
        }
    }

    /// Accepts what has connected already; closing the listening socket would reset it.
    void acceptPending(MHD_socket listening)
    {
        ::fcntl(listening, F_SETFL, ::fcntl(listening, F_GETFL) | O_NONBLOCK);
        for (;;) {
            sockaddr_storage address{};
            socklen_t length = sizeof(address);
            auto *caller = reinterpret_cast<sockaddr *>(&address);
            const MHD_socket accepted =
                ::accept4(listening, caller, &length, SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (accepted == MHD_INVALID_SOCKET)
                return;
            {
                const std::lock_guard lock(m_mutex);
                m_pending.insert(accepted);
            }
            // Closes the socket if it fails.
            if (MHD_add_connection(m_daemon, accepted, caller, length) != MHD_YES) {
                const std::lock_guard lock(m_mutex);
                m_pending.erase(accepted);
            }
        }
    }

    void opened(MHD_Connection *connection)
    {
        const MHD_ConnectionInfo *info =
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        const std::lock_guard lock(m_mutex);
        m_connections[connection].socket = info->connect_fd;
        m_pending.erase(info->connect_fd);
    }

    void closed(MHD_Connection *connection)
    {
        const std::lock_guard lock(m_mutex);
        m_connections.erase(connection);
        m_closed.notify_all();
    }

    void completed(MHD_Connection *connection)
    {
        const std::lock_guard lock(m_mutex);
        CallerConnection &caller = m_connections.at(connection);
        caller.phase = CallerConnection::Phase::Waiting;
        if (m_ending)
            ::shutdown(caller.socket, SHUT_RD);
    }

    /// Connections in that phase end once what has arrived is answered. Expects the lock.
    void endReading(CallerConnection::Phase phase)
    {
        // What has arrived before is still read after SHUT_RD, unlike after a close.
        for (const auto &[connection, caller] : m_connections) {
            if (caller.phase == phase)
                ::shutdown(caller.socket, SHUT_RD);
        }
    }

    MHD_Result access(MHD_Connection *connection, const char *url, const char *method,
                      const char *uploadData, std::size_t *uploadSize, void **context)
    {
        // The first call passes only the headers.
        if (*context == nullptr) {
            auto transfer = std::make_unique<Transfer>();
            transfer->request.method = method;
            transfer->request.path = url;
            MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &addQuery,
                                      &transfer->request.query);
            MHD_get_connection_values(connection, MHD_HEADER_KIND, &addHeader,
                                      &transfer->request.headers);
            const RequestGuard::Verdict verdict = m_guard.begin(connection, transfer->request);
            transfer->closes = verdict == RequestGuard::Verdict::TooLarge;
            *context = transfer.release();
            {
                const std::lock_guard lock(m_mutex);
                m_connections.at(connection).phase = CallerConnection::Phase::Active;
            }
            if (verdict == RequestGuard::Verdict::Close)
                return MHD_NO;
            return verdict == RequestGuard::Verdict::TooLarge
                ? respond(connection, m_guard.tooLargeResponse())
                : MHD_YES;
        }
        auto &transfer = *static_cast<Transfer *>(*context);
        // Further calls pass the body in parts.
        if (const std::size_t bytes = std::exchange(*uploadSize, 0); bytes > 0) {
            if (transfer.closes)
                return MHD_YES;
            return m_guard.append(connection, {uploadData, bytes}) == RequestGuard::Verdict::Proceed
                ? MHD_YES
                : MHD_NO;
        }
        // The last call expects the answer.
        const HttpResponse response = m_guard.dispatch(connection) ? m_handler(transfer.request)
                                                                   : RequestGuard::noRoomResponse();
        m_guard.answered(connection, response);
        return respond(connection, response);
    }

    MHD_Result respond(MHD_Connection *connection, const HttpResponse &response) const
    {
        return sendResponse(connection, response, m_closing);
    }

    HttpServerSettings m_settings;
    Handler m_handler;
    RequestGuard m_guard;
    MHD_Daemon *m_daemon = nullptr;
    std::atomic<bool> m_closing = false;
    std::mutex m_mutex;
    std::condition_variable m_closed;
    std::map<MHD_Connection *, CallerConnection> m_connections;
    std::set<MHD_socket> m_pending; ///< Given to the daemon, which has not started them yet.
    bool m_ending = false;          ///< Connections end after their request.
};

HttpServer::HttpServer(const HttpServerSettings &settings, Handler handler)
    : m_implementation(std::make_unique<Implementation>(settings, std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

Result<void> HttpServer::start()
{
    return m_implementation->start();
}

void HttpServer::stop()
{
    m_implementation->stop();
}

void HttpServer::startClosing()
{
    m_implementation->startClosing();
}

std::uint16_t HttpServer::port() const
{
    return m_implementation->port();
}

} // namespace guavashift
