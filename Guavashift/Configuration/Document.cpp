#include <Guavashift/Configuration/Document.h>

namespace guavashift {

namespace {

/// Whether `prefix` matches `path` in whole segments: "/quote" matches "/quote/7" but not
/// "/quotes".
bool matchesPrefix(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

} // namespace

const RouteConfig *ConfigurationDocument::findRoute(std::string_view path) const
{
    const RouteConfig *best = nullptr;
    for (const RouteConfig &route : routes) {
        if (matchesPrefix(route.prefix, path)
            && (best == nullptr || route.prefix.size() > best->prefix.size()))
            best = &route;
    }
    return best;
}

} // namespace guavashift
