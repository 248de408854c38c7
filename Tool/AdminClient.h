#pragma once

#include <Guavashift/Http/Http.h>

namespace guavashift {

/// Status and JSON body of an answer from the administration API.
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

    /// Tries all addresses in several rounds until one gives an answer other than 503 or 504. Only
    /// for requests that are safe to repeat.
    Result<AdminAnswer> send(const std::string &method, const std::string &target,
                             const Json &body = nullptr);

private:
    std::vector<std::string> m_addresses;
    std::string m_token;
    HttpClient m_client;
};

} // namespace guavashift
