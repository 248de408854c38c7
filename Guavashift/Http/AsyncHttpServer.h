#pragma once

#include <Guavashift/Http/HttpServer.h>

namespace guavashift {

/// Answers one request; callable once, from any thread.
using HttpResponder = std::function<void(HttpResponse)>;

/// Serves HTTP with libmicrohttpd on one thread. The handler is called on that thread and answers
/// later through the responder; meanwhile the connection rests without a thread of its own.
class AsyncHttpServer final
{
public:
    using Handler = std::function<void(HttpRequest, HttpResponder)>;

    AsyncHttpServer(const HttpServerSettings &settings, Handler handler);
    ~AsyncHttpServer();
    AsyncHttpServer(const AsyncHttpServer &) = delete;
    AsyncHttpServer &operator=(const AsyncHttpServer &) = delete;

    Result<void> start();
    /// Every request still waiting must have been answered before.
    void stop();
    /// Answers carry "Connection: close" from now on, so that callers go elsewhere.
    void startClosing();

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace guavashift
