#pragma once

#include <Guavashift/Http/HttpMessage.h>

#include <functional>
#include <string>

namespace guavashift {

/// Accepts only requests with "Authorization: Bearer <token>". An empty token accepts all.
class TokenGuard final
{
public:
    explicit TokenGuard(const std::string &token);

    /// Returns the refusal, or nothing if the request is accepted.
    [[nodiscard]] std::optional<HttpResponse> check(const HttpRequest &request) const;

    /// Wraps a handler so that it is called only for accepted requests.
    [[nodiscard]] std::function<HttpResponse(const HttpRequest &)>
    protect(std::function<HttpResponse(const HttpRequest &)> handler) const;

private:
    std::string m_expected;
};

} // namespace guavashift
