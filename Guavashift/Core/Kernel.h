#pragma once

#include <Guavashift/Core/Error.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace guavashift {

struct DaemonSettings;
class HttpRouter;
class RoleHealth;
class Telemetry;

/// Settings and services of the process that every role uses.
struct RoleContext
{
    const DaemonSettings &settings;
    Telemetry &telemetry;
    RoleHealth &health;
    HttpRouter &admin; ///< Endpoints on the process's administration address.
};

/// One part of the daemon. The kernel starts roles in order and stops them in reverse order.
class Role
{
public:
    Role() = default;
    Role(const Role &) = delete;
    Role &operator=(const Role &) = delete;
    virtual ~Role() = default;

    /// Opens files and sockets. An error ends the process before it has started.
    virtual Result<void> start() = 0;

    /// Announces the planned stop and refuses new work; returns when nothing is in flight.
    virtual void drain() = 0;

    /// Ends threads and closes files.
    virtual void stop() = 0;
};

/// The roles known to this program. Each role's library registers its role through a static
/// RoleRegistration.
class RoleRegistry final
{
public:
    using Factory = std::function<std::unique_ptr<Role>(const RoleContext &)>;

    static RoleRegistry &instance();

    void add(std::string name, Factory factory);
    [[nodiscard]] std::vector<std::string> names() const;

    /// Creates the role called `name`; null if no such role is registered.
    [[nodiscard]] std::unique_ptr<Role> create(std::string_view name,
                                               const RoleContext &context) const;

private:
    std::map<std::string, Factory, std::less<>> m_factories;
};

/// Registers one role. Static objects of this type do so before main() starts.
class RoleRegistration final
{
public:
    RoleRegistration(std::string name, RoleRegistry::Factory factory);
};

/// Starts the roles of one process and shuts them down at a planned stop.
class Kernel final
{
public:
    explicit Kernel(std::vector<std::unique_ptr<Role>> roles);

    /// Starts all roles. On an error the roles already started are shut down.
    Result<void> start();

    /// Drains all started roles, then stops them, each in reverse order of their start.
    void shutDown();

private:
    std::vector<std::unique_ptr<Role>> m_roles;
    std::size_t m_started = 0;
};

} // namespace guavashift
