#pragma once

#include <Guavashift/Http/HttpServer.h>
#include <Guavashift/Http/RequestBudget.h>

#include <array>
#include <microhttpd.h>
#include <mutex>

// Part of both servers. Not part of the public header.

namespace guavashift {

/// Bounds what the clients of a server make it hold: reads bodies into their requests within the
/// budget and cuts connections as the budget decides. Safe to call from any thread.
class RequestGuard final
{
public:
    enum class Verdict {
        Proceed,
        TooLarge, ///< To be answered with 413 and closed.
        Close,    ///< To be closed; the client has been told why where that is possible.
    };

    explicit RequestGuard(const HttpServerSettings &settings);

    void setLimits(std::size_t maxBodyBytes, Duration idleTimeout);

    void opened(MHD_Connection *connection);
    void closed(MHD_Connection *connection);
    /// The headers are read. The request must stay valid until dispatch() or finished().
    [[nodiscard]] Verdict begin(MHD_Connection *connection, HttpRequest &request);
    /// Appends a part of the body. A body that becomes too large is cut at once.
    [[nodiscard]] Verdict append(MHD_Connection *connection, std::string_view part);
    /// Whether the request, which is read completely, has room until its answer is written.
    [[nodiscard]] bool dispatch(MHD_Connection *connection);
    void answered(MHD_Connection *connection, const HttpResponse &response);
    void finished(MHD_Connection *connection);

    /// Answer to a request for which dispatch() found no room: nothing of it has run.
    static HttpResponse noRoomResponse();
    [[nodiscard]] HttpResponse tooLargeResponse() const;

private:
    struct Open
    {
        int socket = -1;
        HttpRequest *request = nullptr; ///< While it is being read.
        std::size_t headBytes = 0;      ///< Of the request without its body.
    };

    /// These expect the lock.
    void cut(Instant now);
    void refused(CutReason reason, Instant now);

    const HttpServerSettings m_settings;
    mutable std::mutex m_mutex;
    std::size_t m_maxBodyBytes;
    Duration m_idleTimeout;
    RequestBudget m_budget;
    std::unordered_map<RequestBudget::ConnectionId, Open> m_open;
    static constexpr std::size_t reasonCount = 4;
    std::array<std::uint64_t, reasonCount> m_unlogged{}; ///< Refusals by reason.
    Instant m_nextLogLine;
};

} // namespace guavashift
