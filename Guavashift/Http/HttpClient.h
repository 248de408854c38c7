#pragma once

#include <Guavashift/Http/HttpMessage.h>

#include <memory>

namespace guavashift {

/// One request to an address.
struct HttpCall
{
    std::string address; ///< "IP:port".
    std::string method = "GET";
    std::string target = "/"; ///< Path and query.
    HttpHeaders headers;
    std::string_view body;
    Duration timeout = std::chrono::seconds(5);
    /// If the server has just closed a reused connection, libcurl sends the request again. Requests
    /// that must not run twice therefore use a new connection.
    bool reuseConnection = true;
};

/// Stage in which a call without a complete answer failed.
enum class HttpFailureStage {
    NotConnected, ///< No connection was established: the request certainly did not arrive.
    Broken,       ///< The connection ended before the answer was complete.
    TimedOut,     ///< The timeout expired after the connection was established.
    TooLarge,     ///< The answer exceeds the limit.
};

struct HttpFailure
{
    HttpFailureStage stage = HttpFailureStage::Broken;
    std::string message;
};

struct HttpClientSettings
{
    std::size_t maxAnswerBytes = 16 << 20;
    Duration connectTimeout = std::chrono::milliseconds(500);
    /// Idle connections kept for each address.
    std::size_t maxIdlePerAddress = 64;
};

/// Sends requests with libcurl and waits for the answers. A truncated answer, or one with a body
/// but no length, is a failure. Thread-safe; each call in progress has a connection of its own.
class HttpClient final
{
public:
    explicit HttpClient(const HttpClientSettings &settings);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    tl::expected<HttpResponse, HttpFailure> send(const HttpCall &call);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace guavashift
