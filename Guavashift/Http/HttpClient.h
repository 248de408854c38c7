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
    /// A kept connection that the server just closed makes libcurl send a request again. What must
    /// not run twice therefore goes over a new connection.
    bool reuseConnection = true;
};

/// How far a call got that has no whole answer.
enum class HttpFailureStage {
    NotConnected, ///< No connection was made: the request certainly did not arrive.
    Broken,       ///< The connection ended before the whole answer had come.
    TimedOut,     ///< The time ran out after the connection was made.
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

/// Sends requests with libcurl. Answers are whole: one that breaks off, or that has a body but no
/// length, is a failure. Thread-safe; each call in progress has a connection of its own.
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
