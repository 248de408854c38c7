#include <Guavashift/Http/MicrohttpdSupport.h>
#include <Guavashift/Http/RequestGuard.h>

#include <algorithm>
#include <charconv>
#include <numeric>
#include <sys/socket.h>

namespace guavashift {

namespace {

/// Value of Retry-After where the budget has no room. Stalled connections are cut at once, so room
/// comes back as soon as requests in progress are answered.
constexpr std::string_view retryAfterSeconds = "1";
/// Tells callers of the product's own daemon that a request did not run.
constexpr std::string_view runHeader = "Guavashift-Run";
constexpr std::string_view notRun = "not-run";
/// Least time between two log lines of one server.
constexpr Duration logInterval = std::chrono::seconds(5);
/// What a header takes besides its texts.
constexpr std::size_t headerOverheadBytes = sizeof(HttpHeader);

RequestBudget::ConnectionId idOf(const MHD_Connection *connection)
{
    return reinterpret_cast<RequestBudget::ConnectionId>(connection);
}

std::size_t bytesOf(const HttpHeaders &headers)
{
    return std::accumulate(headers.all().begin(), headers.all().end(), std::size_t{0},
                           [](std::size_t sum, const HttpHeader &header) {
                               return sum + headerOverheadBytes + header.name.capacity()
                                   + header.value.capacity();
                           });
}

std::size_t bytesOfHead(const HttpRequest &request)
{
    return bytesOf(request.headers) + request.path.capacity() + request.query.capacity();
}

std::uint64_t announcedBytes(const HttpRequest &request)
{
    const std::string_view length = request.headers.find("Content-Length").value_or("");
    std::uint64_t bytes = 0;
    std::from_chars(length.data(), length.data() + length.size(), bytes);
    return bytes;
}

/// Appends without holding more than the body's announced length needs.
void appendPart(HttpRequest &request, std::string_view part)
{
    std::string &body = request.body;
    const std::size_t needed = body.size() + part.size();
    if (needed > body.capacity()) {
        const std::size_t doubled = std::max(needed, 2 * body.capacity());
        const auto announced = static_cast<std::size_t>(announcedBytes(request));
        body.reserve(announced >= needed ? std::min(doubled, announced) : doubled);
    }
    body.append(part);
}

HttpResponse refusal(int status, std::string_view reason)
{
    HttpResponse response = HttpResponse::json(status, {{"error", std::string(reason)}});
    response.headers.add(std::string(runHeader), std::string(notRun));
    return response;
}

/// Writes an answer to a request that is still being read, which libmicrohttpd cannot do. A client
/// that takes nothing does not get it.
void writeAtOnce(int socket, const HttpResponse &response)
{
    std::string text = fmt::format(
        "HTTP/1.1 {} {}\r\nConnection: close\r\nContent-Length: {}\r\n", response.status,
        MHD_get_reason_phrase_for(static_cast<unsigned>(response.status)), response.body.size());
    for (const HttpHeader &header : response.headers.all())
        text += fmt::format("{}: {}\r\n", header.name, header.value);
    text += "\r\n" + response.body;
    (void)::send(socket, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

} // namespace

RequestGuard::RequestGuard(const HttpServerSettings &settings)
    : m_settings(settings)
    , m_maxBodyBytes(settings.maxBodyBytes)
    , m_idleTimeout(settings.idleTimeout)
    , m_budget({settings.requestMemoryBytes, settings.maxConnections, settings.bodyTimeout})
{
}

void RequestGuard::setLimits(std::size_t maxBodyBytes, Duration idleTimeout)
{
    const std::lock_guard lock(m_mutex);
    m_maxBodyBytes = maxBodyBytes;
    m_idleTimeout = idleTimeout;
}

void RequestGuard::opened(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    const std::lock_guard lock(m_mutex);
    const Instant now = BootClock::now();
    m_open[idOf(connection)].socket = info->connect_fd;
    m_budget.opened(idOf(connection), now);
    cut(now);
}

void RequestGuard::closed(MHD_Connection *connection)
{
    const std::lock_guard lock(m_mutex);
    m_open.erase(idOf(connection));
    m_budget.closed(idOf(connection));
}

RequestGuard::Verdict RequestGuard::begin(MHD_Connection *connection, HttpRequest &request)
{
    const std::lock_guard lock(m_mutex);
    const Instant now = BootClock::now();
    if (announcedBytes(request) > m_maxBodyBytes) {
        refused(CutReason::TooLarge, now);
        return Verdict::TooLarge;
    }
    // The library knows only the timeout of the settings.
    if (m_idleTimeout != m_settings.idleTimeout)
        MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
                                  idleSeconds(m_idleTimeout));
    Open &open = m_open.at(idOf(connection));
    open.request = &request;
    open.headBytes = bytesOfHead(request);
    m_budget.received(idOf(connection), open.headBytes, now);
    cut(now);
    return open.request == nullptr ? Verdict::Close : Verdict::Proceed;
}

RequestGuard::Verdict RequestGuard::append(MHD_Connection *connection, std::string_view part)
{
    const std::lock_guard lock(m_mutex);
    const Instant now = BootClock::now();
    Open &open = m_open.at(idOf(connection));
    if (open.request == nullptr)
        return Verdict::Close;
    if (open.request->body.size() + part.size() > m_maxBodyBytes) {
        refused(CutReason::TooLarge, now);
        writeAtOnce(open.socket,
                    refusal(413, fmt::format("the body exceeds {} bytes", m_maxBodyBytes)));
        return Verdict::Close;
    }
    appendPart(*open.request, part);
    m_budget.received(idOf(connection), open.headBytes + open.request->body.capacity(), now);
    cut(now);
    return open.request == nullptr ? Verdict::Close : Verdict::Proceed;
}

bool RequestGuard::dispatch(MHD_Connection *connection)
{
    const std::lock_guard lock(m_mutex);
    const Instant now = BootClock::now();
    Open &open = m_open.at(idOf(connection));
    const bool wasCut = open.request == nullptr;
    open.request = nullptr;
    if (wasCut || !m_budget.handle(idOf(connection), now)) {
        refused(CutReason::Memory, now);
        return false;
    }
    cut(now);
    return true;
}

void RequestGuard::answered(MHD_Connection *connection, const HttpResponse &response)
{
    const std::lock_guard lock(m_mutex);
    const Instant now = BootClock::now();
    m_budget.answered(idOf(connection), bytesOf(response.headers) + response.body.size(), now);
    cut(now);
}

void RequestGuard::finished(MHD_Connection *connection)
{
    const std::lock_guard lock(m_mutex);
    if (const auto open = m_open.find(idOf(connection)); open != m_open.end())
        open->second.request = nullptr;
    m_budget.finished(idOf(connection), BootClock::now());
}

void RequestGuard::cut(Instant now)
{
    while (const std::optional<RequestBudget::Cut> next = m_budget.nextCut(now)) {
        refused(next->reason, now);
        Open &open = m_open.at(next->connection);
        if (open.request != nullptr) {
            writeAtOnce(open.socket,
                        next->reason == CutReason::Slow
                            ? refusal(408, "the body did not arrive in time")
                            : noRoomResponse());
            *open.request = HttpRequest();
            open.request = nullptr;
            m_budget.released(next->connection);
        }
        // The server's thread sees the end of the connection and closes it.
        ::shutdown(open.socket, SHUT_RDWR);
    }
}

void RequestGuard::refused(CutReason reason, Instant now)
{
    if (m_settings.refused)
        m_settings.refused(reason);
    ++m_unlogged.at(static_cast<std::size_t>(reason));
    if (now < m_nextLogLine)
        return;
    m_nextLogLine = now + logInterval;
    const auto count = [this](CutReason each) {
        return std::exchange(m_unlogged.at(static_cast<std::size_t>(each)), 0);
    };
    logEvent(LogLevel::Warning, "clients-refused",
             {{"port", m_settings.port},
              {"too_large", count(CutReason::TooLarge)},
              {"memory", count(CutReason::Memory)},
              {"connections", count(CutReason::Connections)},
              {"slow", count(CutReason::Slow)},
              {"held_bytes", m_budget.heldBytes()},
              {"open", m_budget.openConnections()}});
}

HttpResponse RequestGuard::noRoomResponse()
{
    HttpResponse response =
        refusal(503, "this process has no memory for the request, which was not carried out");
    response.headers.add("Retry-After", std::string(retryAfterSeconds));
    return response;
}

HttpResponse RequestGuard::tooLargeResponse() const
{
    const std::lock_guard lock(m_mutex);
    return refusal(413, fmt::format("the body exceeds {} bytes", m_maxBodyBytes));
}

} // namespace guavashift
