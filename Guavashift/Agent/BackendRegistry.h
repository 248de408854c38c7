#pragma once

#include <Guavashift/Control/Protocol.h>

#include <map>

namespace guavashift {

/// One backend server's announcement to its agent.
struct BackendAnnouncement
{
    ServiceId service;
    TaskId task;         ///< Or any name that is unique on this worker.
    std::string address; ///< "IP:port" where it takes requests.
    std::uint32_t slots = 8;
    bool leaving = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(BackendAnnouncement, service, task, address, slots,
                                                leaving)

/// The backend servers beside one agent. One that falls silent is out by its lease. Pure.
class BackendRegistry final
{
public:
    explicit BackendRegistry(Duration lease);

    /// Takes in an announcement. Returns whether anything changed but the lease.
    bool announce(const BackendAnnouncement &announcement, Instant now);

    /// Drops those whose lease has run out. Returns whether there were any.
    bool expire(Instant now);

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
