#pragma once

#include <Guavashift/Fleet/FleetDecisions.h>

#include <string>
#include <vector>

namespace guavashift {

/// Limits that the deployment sets. All other times in a fleet's processes are derived from them.
struct FleetBounds
{
    Duration maxWorkerLease = std::chrono::milliseconds(6000);
    Duration processGrace = std::chrono::seconds(6);        ///< Between SIGTERM and SIGKILL.
    Duration endedJobRetention = std::chrono::seconds(120); ///< For the state of ended jobs.
    Duration thawSlack = std::chrono::milliseconds(300);    ///< Longest delay after a freeze.
    double remoteFactor = 1.5;             ///< Slowdown of a task away from its data.
    std::uint32_t toleratedDiskLosses = 1; ///< Disks lost at once.
    /// From the acknowledgement of an evacuation to the last start in the failure domain.
    Duration evacuationLimit = std::chrono::seconds(5);
    double coldOvershoot = 0; ///< See WarmUpSettings; 0: the deployment names none.
    double coldSlack = 0;     ///< The same.
};

/// Settings of every process of a fleet.
struct FleetSettings
{
    std::string node;
    std::string zone;
    std::string ip;
    std::uint16_t channelPort = 0;  ///< The same on all machines.
    std::vector<std::string> seeds; ///< Channel addresses of control processes.
    std::string dataFolder;         ///< Of control processes only.
    bool firstStart = false;        ///< The fleet starts for the first time.
    std::size_t maxHandles = 1024;
    std::size_t memoryBytes = std::size_t{256} << 20; ///< The process is killed beyond it.
    FleetBounds bounds;
    FleetDecisions decisions; ///< Of control processes only.

    [[nodiscard]] std::string channelAddress() const
    {
        return fmt::format("{}:{}", ip, channelPort);
    }
};

/// Length of one lease that a worker is granted: three quarters of the longest one. The rest is a
/// margin for clock differences, late renewals and a change of leader.
inline Duration workerLeaseOf(const FleetBounds &bounds)
{
    return bounds.maxWorkerLease * 3 / 4;
}

} // namespace guavashift
