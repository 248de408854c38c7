#pragma once

#include <Guavashift/Http/HttpMessage.h>

#include <functional>
#include <memory>

namespace guavashift {

/// Identifies a connection of one client, from its opening on; 0: none.
using HttpConnectionId = std::uint64_t;

/// One request to an address, owned by the client until it is completed.
struct AsyncHttpCall
{
    std::string address; ///< "IP:port".
    std::string method = "POST";
    std::string target = "/";
    HttpHeaders headers;
    std::string body;
    Duration timeout = std::chrono::seconds(2);
    /// Whether the request may be sent again on a new connection if an open one breaks before the
    /// first byte of the answer. The receiver may have carried it out by then, and another process
    /// may listen at the address.
    bool mayResend = true;
    /// If set, the request is sent only on one of these connections while it is open and idle.
    std::optional<std::vector<HttpConnectionId>> connections;
    /// Whether the request is sent on a connection of its own.
    bool onNewConnection = false;
};

/// Why a call has no answer.
enum class HttpCallFailure {
    Refused,  ///< The connection was refused, so the request was not sent.
    NoAnswer, ///< Timeout or broken connection; whether the request arrived is unknown.
    NotSent,  ///< None of the connections that the call names is open and idle.
};

struct AsyncHttpAnswer
{
    HttpResponse response;
    HttpConnectionId connection = 0; ///< On which the call was sent.
};

/// Sends requests with libcurl's multi interface on a thread of its own, on which callbacks run.
/// Callable from any thread. Calls in progress at destruction get no callback.
class AsyncHttpClient final
{
public:
    using Answer = tl::expected<AsyncHttpAnswer, HttpCallFailure>;
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
