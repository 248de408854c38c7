#include <UnitTests/Http/HttpCaller.h>

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace guavashift {

namespace {

constexpr time_t receiveTimeoutSeconds = 20;
constexpr std::size_t chunkBytes = 64 << 10;
constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::string_view lineEnd = "\r\n";

} // namespace

HttpCaller::HttpCaller(std::uint16_t port, int receiveBytes)
    : m_handle(::socket(AF_INET, SOCK_STREAM, 0))
{
    const timeval timeout{receiveTimeoutSeconds, 0};
    ::setsockopt(m_handle, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    if (receiveBytes != 0)
        ::setsockopt(m_handle, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(receiveBytes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int connected =
        ::connect(m_handle, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    GUAVASHIFT_CHECK(connected == 0);
}

HttpCaller::~HttpCaller()
{
    ::close(m_handle);
}

void HttpCaller::send(std::string_view path) const
{
    const std::string request = fmt::format("GET {} HTTP/1.1\r\nHost: desk.example\r\n\r\n", path);
    const ssize_t sent = ::send(m_handle, request.data(), request.size(), MSG_NOSIGNAL);
    GUAVASHIFT_CHECK(sent == static_cast<ssize_t>(request.size()));
}

bool HttpCaller::readMore()
{
    std::array<char, chunkBytes> chunk{};
    const ssize_t bytes = ::recv(m_handle, chunk.data(), chunk.size(), 0);
    if (bytes <= 0)
        return false;
    m_input.append(chunk.data(), static_cast<std::size_t>(bytes));
    return true;
}

std::optional<HttpResponse> HttpCaller::receive()
{
    std::size_t headSize = m_input.find(headEnd);
    while (headSize == std::string::npos) {
        if (!readMore())
            return std::nullopt;
        headSize = m_input.find(headEnd);
    }
    HttpResponse response;
    constexpr std::size_t statusOffset = std::string_view("HTTP/1.1 ").size();
    response.status = std::stoi(m_input.substr(statusOffset));
    std::size_t offset = m_input.find(lineEnd) + lineEnd.size();
    while (offset < headSize) {
        const std::size_t end = m_input.find(lineEnd, offset);
        const std::size_t colon = m_input.find(": ", offset);
        response.headers.add(m_input.substr(offset, colon - offset),
                             m_input.substr(colon + 2, end - colon - 2));
        offset = end + lineEnd.size();
    }
    const std::string length(response.headers.find("Content-Length").value_or("0"));
    const std::size_t bodyOffset = headSize + headEnd.size();
    const std::size_t whole = bodyOffset + std::stoull(length);
    while (m_input.size() < whole) {
        if (!readMore())
            return std::nullopt;
    }
    response.body = m_input.substr(bodyOffset, whole - bodyOffset);
    m_input.erase(0, whole);
    return response;
}

bool HttpCaller::isClosed()
{
    char byte = 0;
    return m_input.empty() && ::recv(m_handle, &byte, 1, 0) == 0;
}

} // namespace guavashift
