#include <Guavashift/Http/HttpMessage.h>

#include <algorithm>
#include <cctype>

namespace guavashift {

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(),
        [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

void HttpHeaders::add(std::string name, std::string value)
{
    m_headers.push_back({std::move(name), std::move(value)});
}

void HttpHeaders::set(std::string_view name, std::string value)
{
    remove(name);
    add(std::string(name), std::move(value));
}

void HttpHeaders::remove(std::string_view name)
{
    std::erase_if(m_headers,
                  [&](const HttpHeader &header) { return equalsIgnoringCase(header.name, name); });
}

std::optional<std::string_view> HttpHeaders::find(std::string_view name) const
{
    for (const HttpHeader &header : m_headers) {
        if (equalsIgnoringCase(header.name, name))
            return header.value;
    }
    return std::nullopt;
}

HttpResponse HttpResponse::json(int status, const Json &json)
{
    HttpResponse response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
    return response;
}

HttpResponse HttpResponse::text(int status, std::string text)
{
    HttpResponse response;
    response.status = status;
    response.headers.add("Content-Type", "text/plain; charset=utf-8");
    response.body = std::move(text);
    return response;
}

} // namespace guavashift
