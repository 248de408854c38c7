#include <Guavashift/Http/HttpRouter.h>

namespace guavashift {

void HttpRouter::add(std::string method, std::string path, Handler handler)
{
    const std::lock_guard lock(m_mutex);
    m_routes.push_back({std::move(method), std::move(path), std::move(handler)});
}

HttpResponse HttpRouter::route(const HttpRequest &request) const
{
    Handler handler;
    std::string allowed;
    {
        const std::lock_guard lock(m_mutex);
        for (const Route &route : m_routes) {
            const bool matches = route.path.ends_with('/') && route.path.size() > 1
                ? request.path.starts_with(route.path)
                : request.path == route.path;
            if (!matches)
                continue;
            if (route.method == request.method) {
                handler = route.handler;
                break;
            }
            allowed += (allowed.empty() ? "" : ", ") + route.method;
        }
    }
    if (handler)
        return handler(request);
    if (allowed.empty())
        return HttpResponse::json(404, {{"error", "there is nothing at " + request.path}});
    HttpResponse response =
        HttpResponse::json(405, {{"error", request.method + " is not allowed here"}});
    response.headers.add("Allow", allowed);
    return response;
}

} // namespace guavashift
