#pragma once

#include <Guavashift/Http/HttpMessage.h>

#include <functional>
#include <memory>

namespace guavashift {

/// Address and limits of one HTTP server.
struct HttpServerSettings
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;
    unsigned maxConnections = 1024;
    std::size_t maxBodyBytes = 4 << 20;
    /// Memory for the request line and headers of one connection.
    std::size_t maxHeaderBytes = 32 << 10;
    /// Connections that send nothing for this long are closed.
    Duration idleTimeout = std::chrono::seconds(30);
};

/// Serves HTTP with libmicrohttpd, one thread per connection; the handler may block.
class HttpServer final
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    HttpServer(const HttpServerSettings &settings, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    Result<void> start();
    /// Stops accepting connections, waits a limited time until what has arrived is answered, then
    /// closes all connections.
    void stop();
    /// Answers carry "Connection: close" from now on, so that callers connect elsewhere.
    void startClosing();

    [[nodiscard]] std::uint16_t port() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace guavashift
