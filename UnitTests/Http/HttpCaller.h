#pragma once

#include <Guavashift/Http/HttpMessage.h>

namespace guavashift {

/// A caller with one blocking connection to a port of the first loopback address. Shows what came
/// over the socket, so that a torn answer can be told from a whole one.
class HttpCaller final
{
public:
    /// `receiveBytes` bounds the socket's buffer, so that long answers wait at their sender; 0
    /// leaves it as it is.
    explicit HttpCaller(std::uint16_t port, int receiveBytes = 0);
    ~HttpCaller();
    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    void send(std::string_view path) const;
    /// The next answer; nothing if the connection ended, or fell silent, before it was whole.
    [[nodiscard]] std::optional<HttpResponse> receive();
    /// Whether the server has closed the connection, with nothing left to read.
    [[nodiscard]] bool isClosed();

private:
    /// Waits for more bytes; false at the connection's end.
    bool readMore();

    int m_handle = -1;
    std::string m_input;
};

} // namespace guavashift
