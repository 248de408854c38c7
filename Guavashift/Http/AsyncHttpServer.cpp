#include <Guavashift/Http/AsyncHttpServer.h>
#include <Guavashift/Http/MicrohttpdSupport.h>
#include <Guavashift/Http/RequestGuard.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>

namespace guavashift {

namespace {

/// Value of Retry-After in refusals.
constexpr std::string_view retryAfterSeconds = "1";

/// One request from its headers to its answer. The responder shares ownership, so that it may be
/// called after the end of the connection and of the server.
class Exchange final
{
public:
    explicit Exchange(std::shared_ptr<RequestGuard> guard)
        : m_guard(std::move(guard))
    {
    }

    /// Sets the answer, unless there is one already, and resumes a suspended connection.
    void answer(HttpResponse response)
    {
        const std::lock_guard lock(m_mutex);
        if (m_answered)
            return;
        m_answered = true;
        m_response = std::move(response);
        // The pointer is still valid, since a suspended connection is resumed only here.
        if (m_suspended != nullptr) {
            m_guard->answered(m_suspended, m_response);
            MHD_resume_connection(m_suspended);
        }
    }

    /// Takes the answer. If there is none yet, suspends the connection until it is given.
    std::optional<HttpResponse> takeResponseOrSuspend(MHD_Connection *connection)
    {
        const std::lock_guard lock(m_mutex);
        if (m_answered) {
            if (m_suspended == nullptr)
                m_guard->answered(connection, m_response);
            return std::exchange(m_response, {});
        }
        m_suspended = connection;
        MHD_suspend_connection(connection);
        return std::nullopt;
    }

    // Used on the server's thread only.
    HttpRequest request;
    /// Whether the client has its refusal already.
    bool refused = false;
    /// Whether the handler has the request. Set under the server's lock.
    bool dispatched = false;

private:
    const std::shared_ptr<RequestGuard> m_guard;
    std::mutex m_mutex;
    bool m_answered = false;
    MHD_Connection *m_suspended = nullptr;
    HttpResponse m_response;
};

using ExchangePointer = std::shared_ptr<Exchange>;

HttpResponse notCarriedOutResponse()
{
    HttpResponse response =
        HttpResponse::json(503, {{"error", "this process stops; the request was not carried out"}});
    response.headers.add("Retry-After", std::string(retryAfterSeconds));
    return response;
}

HttpResponse unknownOutcomeResponse()
{
    return HttpResponse::json(
        504, {{"error", "this process stops; whether the request was carried out is not known"}});
}

} // namespace

class AsyncHttpServer::Implementation final
{
public:
    Implementation(const HttpServerSettings &settings, Handler handler)
        : m_settings(settings)
        , m_handler(std::move(handler))
        , m_guard(std::make_shared<RequestGuard>(settings))
    {
    }

    ~Implementation() { stop(answerWriteLimit); }

    Result<void> start()
    {
        const Result<sockaddr_in> address = listenAddress(m_settings);
        if (!address)
            return tl::unexpected(address.error());
        m_daemon = MHD_start_daemon(
            MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, m_settings.port,
            nullptr, nullptr, &Implementation::onAccess, this, MHD_OPTION_SOCK_ADDR, &*address,
            MHD_OPTION_CONNECTION_LIMIT, connectionLimit(m_settings), MHD_OPTION_CONNECTION_TIMEOUT,
            idleSeconds(m_settings.idleTimeout), MHD_OPTION_CONNECTION_MEMORY_LIMIT,
            m_settings.maxHeaderBytes, MHD_OPTION_LISTEN_BACKLOG_SIZE, httpListenBacklog,
            MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_UNESCAPE_CALLBACK, &keepEscapes,
            nullptr, MHD_OPTION_NOTIFY_COMPLETED, &Implementation::onCompleted, this,
            MHD_OPTION_NOTIFY_CONNECTION, &Implementation::onConnection, this, MHD_OPTION_END);
        if (m_daemon == nullptr)
            return tl::unexpected(listenError(m_settings));
        limitReceiveBuffers(m_daemon);
        return {};
    }

    void stop(Duration limit)
    {
        if (m_daemon == nullptr)
            return;
        startRefusing();
        // No further request reaches the handler, so no connection is suspended after these.
        const std::vector<ExchangePointer> dispatched = dispatchedExchanges();
        for (const ExchangePointer &exchange : dispatched)
            exchange->answer(unknownOutcomeResponse());
        {
            std::unique_lock lock(m_mutex);
            if (!m_completed.wait_for(lock, limit, [this] { return m_openExchanges.empty(); }))
                logEvent(LogLevel::Warning, "answers-cut-off",
                         {{"requests", m_openExchanges.size()}, {"waited_ms", toMs(limit)}});
        }
        MHD_stop_daemon(m_daemon);
        m_daemon = nullptr;
    }

    void startRefusing()
    {
        m_closing = true;
        const std::lock_guard lock(m_mutex);
        m_refusing = true;
    }

    void startClosing() { m_closing = true; }
    void setLimits(std::size_t maxBodyBytes, Duration idleTimeout)
    {
        m_guard->setLimits(maxBodyBytes, idleTimeout);
    }

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

    static void onConnection(void *cls, MHD_Connection *connection, void **,
                             MHD_ConnectionNotificationCode code)
    {
        auto &server = *static_cast<Implementation *>(cls);
        if (code == MHD_CONNECTION_NOTIFY_STARTED)
            server.m_guard->opened(connection);
        else
            server.m_guard->closed(connection);
    }

    static void onCompleted(void *cls, MHD_Connection *connection, void **context,
                            MHD_RequestTerminationCode)
    {
        if (*context == nullptr)
            return;
        static_cast<Implementation *>(cls)->m_guard->finished(connection);
        const std::unique_ptr<ExchangePointer> exchange(static_cast<ExchangePointer *>(*context));
        *context = nullptr;
        static_cast<Implementation *>(cls)->completed(*exchange);
    }

    void completed(const ExchangePointer &exchange)
    {
        const std::lock_guard lock(m_mutex);
        m_openExchanges.erase(exchange);
        m_completed.notify_all();
    }

    [[nodiscard]] std::vector<ExchangePointer> dispatchedExchanges()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<ExchangePointer> dispatched;
        std::copy_if(m_openExchanges.begin(), m_openExchanges.end(), std::back_inserter(dispatched),
                     [](const ExchangePointer &exchange) { return exchange->dispatched; });
        return dispatched;
    }

    /// Marks the request as dispatched to the handler. False once the server refuses requests.
    bool admit(Exchange &exchange)
    {
        const std::lock_guard lock(m_mutex);
        exchange.dispatched = !m_refusing;
        return exchange.dispatched;
    }

    MHD_Result access(MHD_Connection *connection, const char *url, const char *method,
                      const char *uploadData, std::size_t *uploadSize, void **context)
    {
        // The first call passes only the headers.
        if (*context == nullptr) {
            auto exchange = std::make_shared<Exchange>(m_guard);
            exchange->request.method = method;
            exchange->request.path = url;
            MHD_get_connection_values(connection, MHD_HEADER_KIND, &addHeader,
                                      &exchange->request.headers);
            {
                const std::lock_guard lock(m_mutex);
                m_openExchanges.insert(exchange);
            }
            *context = new ExchangePointer(exchange);
            const RequestGuard::Verdict verdict = m_guard->begin(connection, exchange->request);
            if (verdict == RequestGuard::Verdict::Close)
                return MHD_NO;
            exchange->refused = verdict == RequestGuard::Verdict::TooLarge;
            return exchange->refused ? respond(connection, m_guard->tooLargeResponse()) : MHD_YES;
        }
        const ExchangePointer exchange = *static_cast<ExchangePointer *>(*context);
        // Further calls pass the body in parts.
        if (const std::size_t bytes = std::exchange(*uploadSize, 0); bytes > 0) {
            if (exchange->refused)
                return MHD_YES;
            return m_guard->append(connection, {uploadData, bytes})
                    == RequestGuard::Verdict::Proceed
                ? MHD_YES
                : MHD_NO;
        }
        // The next call expects the answer. It is repeated after the connection is resumed.
        if (!exchange->dispatched) {
            if (!m_guard->dispatch(connection))
                return respond(connection, RequestGuard::noRoomResponse());
            if (!admit(*exchange))
                return respond(connection, notCarriedOutResponse());
            m_handler(std::move(exchange->request),
                      [exchange](HttpResponse response) { exchange->answer(std::move(response)); });
        }
        const std::optional<HttpResponse> answer = exchange->takeResponseOrSuspend(connection);
        return answer ? respond(connection, *answer) : MHD_YES;
    }

    MHD_Result respond(MHD_Connection *connection, const HttpResponse &response) const
    {
        return sendResponse(connection, response, m_closing);
    }

    HttpServerSettings m_settings;
    Handler m_handler;
    const std::shared_ptr<RequestGuard> m_guard;
    MHD_Daemon *m_daemon = nullptr;
    std::atomic<bool> m_closing = false;
    std::mutex m_mutex;
    std::condition_variable m_completed;
    bool m_refusing = false;
    std::set<ExchangePointer> m_openExchanges; ///< Requests whose answer is not written completely.
};

AsyncHttpServer::AsyncHttpServer(const HttpServerSettings &settings, Handler handler)
    : m_implementation(std::make_shared<Implementation>(settings, std::move(handler)))
{
}

AsyncHttpServer::~AsyncHttpServer() = default;

Result<void> AsyncHttpServer::start()
{
    return m_implementation->start();
}

void AsyncHttpServer::stop(Duration limit)
{
    m_implementation->stop(limit);
}

void AsyncHttpServer::startClosing()
{
    m_implementation->startClosing();
}

void AsyncHttpServer::setLimits(std::size_t maxBodyBytes, Duration idleTimeout)
{
    m_implementation->setLimits(maxBodyBytes, idleTimeout);
}

void AsyncHttpServer::startRefusing()
{
    m_implementation->startRefusing();
}

std::uint16_t AsyncHttpServer::port() const
{
    return m_implementation->port();
}

} // namespace guavashift
