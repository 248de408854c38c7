#pragma once

#include <Guavashift/Http/HttpMessage.h>

#include <functional>
#include <memory>

namespace guavashift {

/// One request to an address, owned by the client until it is answered.
struct AsyncHttpCall
{
    std::string address; ///< "IP:port".
    std::string method = "POST";
    std::string target = "/";
    HttpHeaders headers;
    std::string body;
    Duration timeout = std::chrono::seconds(2);
};

/// Why a call has no answer.
enum class HttpCallFailure {
    Refused,  ///< The port answered with a reset: no program listens there.
    NoAnswer, ///< Nothing came in time, or the connection broke; whether it arrived is unknown.
};

/// Sends requests with libcurl's multi interface on one thread of its own. Answers are handed to
/// callbacks on that thread. Callable from any thread.
class AsyncHttpClient final
{
public:
    using Answer = tl::expected<HttpResponse, HttpCallFailure>;
    using Callback = std::function<void(Answer)>;

    AsyncHttpClient();
    ~AsyncHttpClient();
    AsyncHttpClient(const AsyncHttpClient &) = delete;
    AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

    void send(AsyncHttpCall call, Callback callback);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace guavashift
