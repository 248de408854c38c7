#pragma once

#include <Guavashift/Http/HttpMessage.h>
#include <Guavashift/Http/RequestBudget.h>

#include <functional>
#include <memory>

namespace guavashift {

/// Address and limits of one HTTP server.
struct HttpServerSettings
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;
    /// Beyond these, the one that has made no progress for the longest time is closed.
    unsigned maxConnections = 1024;
    std::size_t maxBodyBytes = 4 << 20;
    /// Memory for the request line and headers of one connection.
    std::size_t maxHeaderBytes = 32 << 10;
    /// Connections that send nothing for this long are closed.
    Duration idleTimeout = std::chrono::seconds(30);
    /// Longest time from a request's headers to the end of its body.
    Duration bodyTimeout = std::chrono::seconds(30);
    /// Memory for all requests that are not answered, and for answers that are not taken.
    std::size_t requestMemoryBytes = 128 << 20;
    /// Called for each refusal, on any thread and under a lock, so it must not call the server.
    std::function<void(CutReason)> refused;
};

/// The settings' connections, bounded by the memory and descriptors of the process: half of each at
/// most, the memory with what the system keeps unread.
unsigned boundedConnections(const HttpServerSettings &settings, std::size_t memoryBytes,
                            std::size_t descriptors);

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
