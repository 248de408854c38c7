#pragma once

#include <Guavashift/Http/HttpMessage.h>

namespace guavashift {

/// A caller with one blocking connection to a port of 127.0.0.1. Parses the bytes from the socket
/// itself, so that a truncated answer can be distinguished from a complete one.
class HttpCaller final
{
public:
    /// `receiveBytes` limits the socket's receive buffer, so that long answers wait at the sender;
    /// 0 keeps the default.
    explicit HttpCaller(std::uint16_t port, int receiveBytes = 0);
    ~HttpCaller();
    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    void send(std::string_view path) const;
    /// Reads the next answer. Nothing if the connection ended or timed out before it was complete.
    [[nodiscard]] std::optional<HttpResponse> receive();
    /// Whether the server has closed the connection, with nothing left to read.
    [[nodiscard]] bool isClosed();

private:
    /// Waits for more bytes. False if the connection ended or timed out.
    bool readMore();

    int m_handle = -1;
    std::string m_input;
};

} // namespace guavashift
