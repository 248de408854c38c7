#include <Guavashift/Http/AsyncHttpServer.h>
#include <Guavashift/Http/MicrohttpdParts.h>

#include <atomic>
#include <mutex>

namespace guavashift {

namespace {

/// One request from its headers to its answer.
struct Exchange
{
    HttpRequest request;
    bool tooLarge = false;
    bool handed = false;
    std::mutex mutex;
    bool answered = false;
    bool suspended = false;
    HttpResponse response;
};

using ExchangePointer = std::shared_ptr<Exchange>;

} // namespace

class AsyncHttpServer::Implementation final
{
public:
    Implementation(const HttpServerSettings &settings, Handler handler)
        : m_settings(settings)
        , m_handler(std::move(handler))
    {
    }

    ~Implementation() { stop(); }

    Result<void> start()
    {
        const Result<sockaddr_in> address = listenAddress(m_settings);
        if (!address)
            return tl::unexpected(address.error());
        m_daemon = MHD_start_daemon(
            MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, m_settings.port,
            nullptr, nullptr, &Implementation::onAccess, this, MHD_OPTION_SOCK_ADDR, &*address,
            MHD_OPTION_CONNECTION_LIMIT, m_settings.maxConnections, MHD_OPTION_CONNECTION_TIMEOUT,
            idleSeconds(m_settings), MHD_OPTION_CONNECTION_MEMORY_LIMIT, m_settings.maxHeaderBytes,
            MHD_OPTION_LISTEN_BACKLOG_SIZE, httpListenBacklog, MHD_OPTION_LISTENING_ADDRESS_REUSE,
            1U, MHD_OPTION_UNESCAPE_CALLBACK, &keepEscapes, nullptr, MHD_OPTION_NOTIFY_COMPLETED,
            &Implementation::onCompleted, this, MHD_OPTION_END);
        if (m_daemon == nullptr)
            return tl::unexpected(cannotListen(m_settings));
        return {};
    }

    void stop()
    {
        if (m_daemon == nullptr)
            return;
        MHD_stop_daemon(m_daemon);
        m_daemon = nullptr;
    }

    void startClosing() { m_closing = true; }

private:
    static MHD_Result onAccess(void *cls, MHD_Connection *connection, const char *url,
                               const char *method, const char *, const char *uploadData,
                               std::size_t *uploadSize, void **context)
    {
        return static_cast<Implementation *>(cls)->access(connection, url, method, uploadData,
                                                          uploadSize, context);
    }

    static void onCompleted(void *, MHD_Connection *, void **context, MHD_RequestTerminationCode)
    {
        delete static_cast<ExchangePointer *>(*context);
        *context = nullptr;
    }

    MHD_Result access(MHD_Connection *connection, const char *url, const char *method,
                      const char *uploadData, std::size_t *uploadSize, void **context)
    {
        // The first call brings the headers only.
        if (*context == nullptr) {
            auto exchange = std::make_shared<Exchange>();
            exchange->request.method = method;
            exchange->request.path = url;
            MHD_get_connection_values(connection, MHD_HEADER_KIND, &addHeader,
                                      &exchange->request.headers);
            *context = new ExchangePointer(std::move(exchange));
            return MHD_YES;
        }
        const ExchangePointer exchange = *static_cast<ExchangePointer *>(*context);
        // Further calls bring the body in pieces.
        if (takeBody(exchange->request, exchange->tooLarge, m_settings.maxBodyBytes, uploadData,
                     uploadSize))
            return MHD_YES;
        if (exchange->tooLarge)
            return respond(connection,
                           HttpResponse::json(413, {{"error", "the body is too large"}}));
        // The next call asks for the answer; the one after a resume finds it.
        if (!exchange->handed) {
            exchange->handed = true;
            m_handler(std::move(exchange->request), [exchange, connection](HttpResponse response) {
                const std::lock_guard lock(exchange->mutex);
                if (exchange->answered)
                    return;
                exchange->answered = true;
                exchange->response = std::move(response);
                if (exchange->suspended)
                    MHD_resume_connection(connection);
            });
        }
        {
            const std::lock_guard lock(exchange->mutex);
            if (!exchange->answered) {
                exchange->suspended = true;
                MHD_suspend_connection(connection);
                return MHD_YES;
            }
        }
        return respond(connection, exchange->response);
    }

    MHD_Result respond(MHD_Connection *connection, const HttpResponse &response) const
    {
        return sendResponse(connection, response, m_closing);
    }

    HttpServerSettings m_settings;
    Handler m_handler;
    MHD_Daemon *m_daemon = nullptr;
    std::atomic<bool> m_closing = false;
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

void AsyncHttpServer::stop()
{
    m_implementation->stop();
}

void AsyncHttpServer::startClosing()
{
    m_implementation->startClosing();
}

} // namespace guavashift
