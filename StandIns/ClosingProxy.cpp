#include <CLI/CLI.hpp>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <string_view>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

// A proxy for HTTP servers that close each connection after their answer: it opens a connection to
// the server for each request, and closes the client's once the answer is complete.

namespace {

constexpr std::string_view endOfHeaders = "\r\n\r\n";

/// An open socket.
class Socket final
{
public:
    explicit Socket(int handle)
        : m_handle(handle)
    {
    }
    ~Socket()
    {
        if (m_handle >= 0)
            ::close(m_handle);
    }
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    [[nodiscard]] int handle() const { return m_handle; }

    [[nodiscard]] bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(m_handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /// Reads a message of HTTP with its body; nothing if the connection ends before.
    [[nodiscard]] std::optional<std::string> receive() const
    {
        constexpr std::size_t chunk = 65'536;
        std::string message;
        std::string buffer(chunk, '\0');
        std::size_t expected = std::string::npos;
        while (message.size() < expected) {
            const ssize_t count = ::recv(m_handle, buffer.data(), buffer.size(), 0);
            if (count <= 0)
                return std::nullopt;
            message.append(buffer, 0, static_cast<std::size_t>(count));
            const std::size_t headers = message.find(endOfHeaders);
            if (headers != std::string::npos)
                expected = headers + endOfHeaders.size() + bodyLength(message.substr(0, headers));
        }
        return message;
    }

private:
    static std::size_t bodyLength(const std::string &headers)
    {
        constexpr std::string_view name = "\r\nContent-Length:";
        for (std::size_t at = headers.find("\r\n"); at != std::string::npos;
             at = headers.find("\r\n", at + 1)) {
            if (::strncasecmp(headers.data() + at, name.data(), name.size()) == 0)
                return std::stoul(headers.substr(at + name.size()));
        }
        return 0;
    }

    int m_handle;
};

sockaddr_in addressOf(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1))));
    if (::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1)
        throw std::invalid_argument("not an address: " + text);
    return address;
}

int newSocket()
{
    return ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
}

void serve(int handle, const sockaddr_in &target)
{
    const Socket client(handle);
    const std::optional<std::string> request = client.receive();
    if (!request)
        return;
    const Socket server(newSocket());
    if (::connect(server.handle(), reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0
        || !server.send(*request))
        return;
    std::optional<std::string> answer = server.receive();
    if (!answer)
        return;
    answer->insert(answer->find("\r\n"), "\r\nConnection: close");
    (void)client.send(*answer);
}

int run(const std::string &listen, const std::string &to)
{
    const sockaddr_in target = addressOf(to);
    const sockaddr_in address = addressOf(listen);
    const Socket listener(newSocket());
    const int reuse = 1;
    ::setsockopt(listener.handle(), SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    if (::bind(listener.handle(), reinterpret_cast<const sockaddr *>(&address), sizeof(address))
            != 0
        || ::listen(listener.handle(), SOMAXCONN) != 0) {
        std::perror("cannot listen");
        return EXIT_FAILURE;
    }
    for (;;) {
        const int client = ::accept4(listener.handle(), nullptr, nullptr, SOCK_CLOEXEC);
        if (client >= 0)
            std::thread(serve, client, target).detach();
    }
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{"Passes HTTP requests on and closes each connection after its answer"};
    std::string listen;
    std::string to;
    app.add_option("--listen", listen, "Address to serve, IP:port")->required();
    app.add_option("--to", to, "Address of the server, IP:port")->required();
    CLI11_PARSE(app, argc, argv);
    return run(listen, to);
}
