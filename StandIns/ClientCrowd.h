#pragma once

#include <Guavashift/Core/Core.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavashift {

/// What each client of a crowd sends.
enum class CrowdKind {
    Whole,      ///< A body of announced length, up to 10 bytes before its end.
    Pieces,     ///< The same, in pieces of 4 KiB by turns with the other clients.
    Chunks,     ///< Chunks of 4 KiB, without the last one.
    TinyChunks, ///< Chunks of one byte, without the last one.
    Announced,  ///< Part of a body that is announced with 64 MiB.
    Unread,     ///< Requests one after the other, without reading an answer.
    Headers,    ///< Headers of one byte each, without the empty line at their end.
    Silent,     ///< Nothing.
};

std::optional<CrowdKind> crowdKindOf(std::string_view name);

struct CrowdSettings
{
    std::string target; ///< "IP:port".
    std::string method = "POST";
    std::string path = "/";
    std::string host = "crowd.example";
    CrowdKind kind = CrowdKind::Silent;
    std::size_t clients = 1;
    std::size_t bytes = 0; ///< Of the body, the headers or the requests of one client.
};

/// Clients that send without end or stop short of it and keep their connections open.
class ClientCrowd final
{
public:
    explicit ClientCrowd(const CrowdSettings &settings);
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    /// Opens all connections and sends until each client has sent all, is cut off or is not read
    /// from. False if the target is not an address.
    bool send();

    [[nodiscard]] std::size_t openConnections() const;
    /// Bytes that all clients have sent.
    [[nodiscard]] std::uint64_t sentBytes() const { return m_sentBytes; }

private:
    struct Client
    {
        int socket = -1;
        std::size_t sent = 0;
    };

    [[nodiscard]] std::string unit() const;
    [[nodiscard]] std::string head() const;
    [[nodiscard]] bool hasSentAll(const Client &client) const;
    bool open(Client &client) const;
    /// Sends the next part. True if the client sent something or was cut off.
    bool sendSome(Client &client);

    CrowdSettings m_settings;
    std::string m_head; ///< Sent once.
    std::string m_unit; ///< Sent repeatedly after it.
    std::size_t m_totalBytes = 0;
    std::vector<Client> m_clients;
    std::uint64_t m_sentBytes = 0;
};

} // namespace guavashift
