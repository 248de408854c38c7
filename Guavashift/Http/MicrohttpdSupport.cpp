#include <Guavashift/Http/MicrohttpdSupport.h>

#include <algorithm>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <utility>

namespace guavashift {

unsigned boundedConnections(const HttpServerSettings &settings, std::size_t memoryBytes,
                            std::size_t descriptors)
{
    const std::size_t bytesEach = settings.maxHeaderBytes + 2 * std::size_t{receiveBufferBytes};
    const std::size_t most =
        std::max<std::size_t>(1, std::min(memoryBytes / 2 / bytesEach, descriptors / 2));
    return static_cast<unsigned>(std::min<std::size_t>(settings.maxConnections, most));
}

Result<sockaddr_in> listenAddress(const HttpServerSettings &settings)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(settings.port);
    if (inet_pton(AF_INET, settings.ip.c_str(), &address.sin_addr) != 1)
        return fail(ErrorCode::InvalidArgument, settings.ip + " is not an IPv4 address");
    return address;
}

Error listenError(const HttpServerSettings &settings)
{
    return {ErrorCode::Io, fmt::format("cannot listen on {}:{}", settings.ip, settings.port)};
}

unsigned idleSeconds(Duration timeout)
{
    return static_cast<unsigned>(std::chrono::ceil<std::chrono::seconds>(timeout).count());
}

MHD_Result addHeader(void *headers, MHD_ValueKind, const char *key, const char *value)
{
    static_cast<HttpHeaders *>(headers)->add(key, value == nullptr ? "" : value);
    return MHD_YES;
}

std::size_t keepEscapes(void *, MHD_Connection *, char *text)
{
    return std::char_traits<char>::length(text);
}

unsigned connectionLimit(const HttpServerSettings &settings)
{
    constexpr unsigned cutConnections = 32;
    return settings.maxConnections + cutConnections;
}

void limitReceiveBuffers(MHD_Daemon *daemon)
{
    const MHD_DaemonInfo *info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_LISTEN_FD);
    // Accepted sockets inherit the size.
    if (info == nullptr
        || ::setsockopt(info->listen_fd, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes,
                        sizeof receiveBufferBytes)
            != 0)
        logEvent(LogLevel::Warning, "receive-buffers-unlimited", {{"errno", errno}});
}

MHD_Result sendResponse(MHD_Connection *connection, const HttpResponse &response, bool closing)
{
    MHD_Response *native = MHD_create_response_from_buffer(
        response.body.size(), const_cast<char *>(response.body.data()), MHD_RESPMEM_MUST_COPY);
    for (const HttpHeader &header : response.headers.all())
        MHD_add_response_header(native, header.name.c_str(), header.value.c_str());
    if (closing)
        MHD_add_response_header(native, "Connection", "close");
    const MHD_Result result =
        MHD_queue_response(connection, static_cast<unsigned>(response.status), native);
    MHD_destroy_response(native);
    return result;
}

} // namespace guavashift
