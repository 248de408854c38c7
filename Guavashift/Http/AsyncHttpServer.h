#pragma once

#include <Guavashift/Http/HttpServer.h>

namespace guavashift {

/// Answers one request; callable once, from any thread.
using HttpResponder = std::function<void(HttpResponse)>;

/// Serves HTTP with libmicrohttpd on one thread. The handler is called on that thread and answers
/// later through the responder; meanwhile the connection rests without a thread of its own. No
/// request that was read whole ends without an answer, also when the server stops.
class AsyncHttpServer final
{
public:
    using Handler = std::function<void(HttpRequest, HttpResponder)>;

    /// Longest wait at the end for answers to be written.
    static constexpr Duration answerWriteLimit = std::chrono::milliseconds(300);

    AsyncHttpServer(const HttpServerSettings &settings, Handler handler);
    ~AsyncHttpServer();
    AsyncHttpServer(const AsyncHttpServer &) = delete;
    AsyncHttpServer &operator=(const AsyncHttpServer &) = delete;

    Result<void> start();
    /// Answers carry "Connection: close" from now on, so that callers go elsewhere.
    void startClosing();
    /// Requests that are read from now on are answered with 503 at once and not handed on. What
    /// was handed on before may still be answered.
    void startRefusing();
    /// Refuses new requests, answers those that nobody has answered with 504, since whether they
    /// were done is not known, and ends as soon as all answers are written, at the latest after
    /// `limit`. Responders may be called at any time after it, to no effect.
    void stop(Duration limit = answerWriteLimit);

    /// The port it listens on, also if the settings left the choice to the system.
    [[nodiscard]] std::uint16_t port() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace guavashift
