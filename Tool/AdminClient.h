#pragma once

#include <Guavashift/Http/Http.h>

namespace guavashift {

/// An answer of the administration API.
struct AdminAnswer
{
    int status = 0;
    Json body;
};

/// Sends requests to the first administration address that answers.
class AdminClient final
{
public:
    AdminClient(std::vector<std::string> addresses, std::string token);

    /// Tries all addresses, several times. Only for requests that may be sent again.
    Result<AdminAnswer> send(const std::string &method, const std::string &target,
                             const Json &body = nullptr);

private:
    std::vector<std::string> m_addresses;
    std::string m_token;
    HttpClient m_client;
};

} // namespace guavashift
