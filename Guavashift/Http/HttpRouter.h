#pragma once

#include <Guavashift/Http/HttpMessage.h>

#include <functional>
#include <mutex>
#include <vector>

namespace guavashift {

/// Calls the handler of a request, found by method and path. A path that ends in '/' matches all
/// paths below it, except "/", which matches only itself.
class HttpRouter final
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    void add(std::string method, std::string path, Handler handler);

    /// Answers 404 for an unknown path and 405 for a known path with another method.
    [[nodiscard]] HttpResponse route(const HttpRequest &request) const;

private:
    struct Route
    {
        std::string method;
        std::string path;
        Handler handler;
    };

    mutable std::mutex m_mutex;
    std::vector<Route> m_routes;
};

} // namespace guavashift
