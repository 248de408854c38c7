#include <Guavashift/Http/TokenGuard.h>

namespace guavashift {

namespace {

constexpr int statusUnauthorized = 401;

/// Compares without an early exit, so that the time taken reveals nothing about the token.
bool equalsSecret(std::string_view left, std::string_view right)
{
    unsigned difference = left.size() == right.size() ? 0 : 1;
    for (std::size_t i = 0; i < left.size() && i < right.size(); ++i)
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    return difference == 0;
}

} // namespace

TokenGuard::TokenGuard(const std::string &token)
    : m_expected(token.empty() ? std::string() : "Bearer " + token)
{
}

std::optional<HttpResponse> TokenGuard::check(const HttpRequest &request) const
{
    if (m_expected.empty())
        return std::nullopt;
    const std::string_view given = request.headers.find("Authorization").value_or("");
    if (equalsSecret(given, m_expected))
        return std::nullopt;
    HttpResponse response = HttpResponse::json(
        statusUnauthorized, {{"error", "the operator token is missing or wrong"}});
    response.headers.add("WWW-Authenticate", "Bearer");
    return response;
}

std::function<HttpResponse(const HttpRequest &)>
TokenGuard::protect(std::function<HttpResponse(const HttpRequest &)> handler) const
{
    return [guard = *this, handler = std::move(handler)](const HttpRequest &request) {
        if (std::optional<HttpResponse> refusal = guard.check(request))
            return std::move(*refusal);
        return handler(request);
    };
}

} // namespace guavashift
