#pragma once

#include <Guavashift/Core/Core.h>

#include <string>
#include <vector>

namespace guavashift {

/// Limits that the deployment sets. All other times of a fleet's processes follow from these.
struct FleetBounds
{
    Duration maxWorkerLease = std::chrono::milliseconds(6000);
    Duration processGrace = std::chrono::seconds(6);        ///< Between SIGTERM and SIGKILL.
    Duration endedJobRetention = std::chrono::seconds(120); ///< State of ended jobs.
    Duration thawSlack = std::chrono::milliseconds(300);    ///< Lateness after a freeze.
    double remoteFactor = 1.5;                              ///< Slowdown away from the data.
    std::uint32_t toleratedDiskLosses = 1;                  ///< Disks lost at once.
};

/// What every process of a fleet is told at start.
struct FleetSettings
{
    std::string node;
    std::string zone;
    std::string ip;
    std::uint16_t channelPort = 0;  ///< The same on all machines.
    std::vector<std::string> seeds; ///< Channels of control processes.
    std::string dataFolder;         ///< Core only.
    bool firstStart = false;        ///< The fleet starts for the first time.
    std::size_t maxHandles = 1024;
    FleetBounds bounds;

    [[nodiscard]] std::string channelAddress() const
    {
        return fmt::format("{}:{}", ip, channelPort);
    }
};

/// One grant lets a worker run for this part of the longest lease: the rest is for clocks, late
/// renewals and a change of leader.
inline Duration workerLeaseOf(const FleetBounds &bounds)
{
    return bounds.maxWorkerLease * 3 / 4;
}

} // namespace guavashift
