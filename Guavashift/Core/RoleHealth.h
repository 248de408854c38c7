#pragma once

#include <Guavashift/Core/Finding.h>

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace guavashift {

/// Collects the reasons why this process should get no new work from the probes of its roles.
/// Thread-safe; probes are called under a lock and must not use this object.
class RoleHealth final
{
public:
    /// Returns the reason why the role is not ready, or nothing.
    using Probe = std::function<std::optional<std::string>()>;

    /// Adds the probe of a role, or replaces the one it has.
    void add(const std::string &role, Probe probe);
    void remove(const std::string &role);

    /// Calls all probes and returns their reasons, each with the role as its place; empty if the
    /// process is ready.
    [[nodiscard]] Findings problems() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, Probe> m_probes;
};

} // namespace guavashift
