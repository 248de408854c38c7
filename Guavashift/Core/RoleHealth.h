#pragma once

#include <Guavashift/Core/Finding.h>

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace guavashift {

/// Collects from the roles of this process why it should get no new work.
class RoleHealth final
{
public:
    /// Returns the reason why the role is not ready, or nothing.
    using Probe = std::function<std::optional<std::string>()>;

    void add(const std::string &role, Probe probe);
    void remove(const std::string &role);

    /// All reasons, each with the role as its place; empty if the process is ready.
    [[nodiscard]] Findings problems() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, Probe> m_probes;
};

} // namespace guavashift
