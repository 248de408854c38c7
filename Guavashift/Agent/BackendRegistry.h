#pragma once

#include <Guavashift/Control/Protocol.h>

#include <map>

namespace guavashift {

/// Announcement that a backend server sends to its agent.
struct BackendAnnouncement
{
    ServiceId service;
    TaskId task;         ///< The server's task, or any name that is unique on this worker.
    std::string address; ///< "IP:port" at which the server accepts requests.
    std::uint32_t slots = 8;
    bool leaving = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(BackendAnnouncement, service, task, address, slots,
                                                leaving)

/// The backend servers of one agent's worker. A server that stops announcing itself is removed when
/// its lease expires. Does no I/O and reads no clock. Not thread-safe.
class BackendRegistry final
{
public:
    explicit BackendRegistry(Duration lease);

    /// Adds or updates a server and renews its lease. Returns whether more than the lease changed.
    bool announce(const BackendAnnouncement &announcement, Instant now);

    /// Removes servers with an expired lease. Returns whether there were any.
    bool expire(Instant now);

    /// All registered servers, each marked as leaving if `allLeaving`.
    [[nodiscard]] std::vector<BackendServer> servers(bool allLeaving) const;
    [[nodiscard]] std::optional<std::string> addressOf(const TaskId &task) const;

private:
    struct Registration
    {
        BackendAnnouncement announcement;
        Instant expiry;
    };

    Duration m_lease;
    std::map<TaskId, Registration> m_registrations;
};

} // namespace guavashift
