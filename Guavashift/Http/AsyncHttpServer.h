#pragma once

#include <Guavashift/Http/HttpServer.h>

namespace guavashift {

/// Answers one request; callable once, from any thread.
using HttpResponder = std::function<void(HttpResponse)>;

/// Serves HTTP with libmicrohttpd on one thread. The handler is called on that thread and answers
/// later through the responder; meanwhile the connection is suspended and occupies no thread. Every
/// request that was read completely is answered, also when the server stops.
class AsyncHttpServer final
{
public:
    using Handler = std::function<void(HttpRequest, HttpResponder)>;

    /// Longest wait of a stopping server for answers to be written.
    static constexpr Duration answerWriteLimit = std::chrono::milliseconds(300);

    AsyncHttpServer(const HttpServerSettings &settings, Handler handler);
    ~AsyncHttpServer();
    AsyncHttpServer(const AsyncHttpServer &) = delete;
    AsyncHttpServer &operator=(const AsyncHttpServer &) = delete;

    Result<void> start();
    /// Answers carry "Connection: close" from now on, so that callers connect elsewhere.
    void startClosing();
    /// Replaces the settings' limits, for requests whose headers are read from now on. Safe to call
    /// from any thread.
    void setLimits(std::size_t maxBodyBytes, Duration idleTimeout);
    /// Requests that are read from now on are answered with 503 and do not reach the handler. Those
    /// that reached it before may still be answered.
    void startRefusing();
    /// Refuses new requests, answers pending ones with 504, since whether they were carried out is
    /// not known, and closes all connections once all answers are written, at the latest after
    /// `limit`. Responders may still be called afterwards, without effect.
    void stop(Duration limit = answerWriteLimit);

    /// The port that the server listens on, also if the system chose it (port 0 in the settings).
    [[nodiscard]] std::uint16_t port() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace guavashift
