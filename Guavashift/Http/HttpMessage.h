#pragma once

#include <Guavashift/Core/Core.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavashift {

struct HttpHeader
{
    std::string name;
    std::string value;
};

/// Headers in the order received. Names are case-insensitive.
class HttpHeaders final
{
public:
    void add(std::string name, std::string value);
    /// Replaces all headers of that name.
    void set(std::string_view name, std::string value);
    void remove(std::string_view name);
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;
    [[nodiscard]] const std::vector<HttpHeader> &all() const { return m_headers; }

private:
    std::vector<HttpHeader> m_headers;
};

bool equalsIgnoringCase(std::string_view left, std::string_view right);

struct HttpRequest
{
    std::string method;
    std::string path;  ///< Without the query.
    std::string query; ///< Encoded, without the question mark.
    HttpHeaders headers;
    std::string body;

    /// Path and query as in the request line.
    [[nodiscard]] std::string target() const { return query.empty() ? path : path + "?" + query; }
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;

    static HttpResponse json(int status, const Json &json);
    static HttpResponse text(int status, std::string text);
};

} // namespace guavashift
