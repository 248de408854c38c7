#pragma once

#include <Guavashift/Http/HttpMessage.h>

#include <functional>
#include <string>

namespace guavashift {

/// Lets requests through that carry "Authorization: Bearer <token>". An empty token lets all
/// through.
class TokenGuard final
{
public:
    explicit TokenGuard(const std::string &token);

    /// Null if the request may pass, else the refusal.
    [[nodiscard]] std::optional<HttpResponse> check(const HttpRequest &request) const;

    /// The handler behind the check.
    [[nodiscard]] std::function<HttpResponse(const HttpRequest &)>
    protect(std::function<HttpResponse(const HttpRequest &)> handler) const;

private:
    std::string m_expected;
};

} // namespace guavashift
