#pragma once

#include <Guavashift/Core/Core.h>

#include <string>
#include <vector>

namespace guavashift {

/// Startup settings of a process. Addresses are "IP:port".
struct DaemonSettings
{
    std::vector<std::string> roles;
    std::string vm; ///< Name of this VM, unique in the cluster.
    FailureDomain failureDomain;
    RackId rack;
    std::string clusterId = "guavashift";
    std::string clusterKey;                    ///< Shared by all processes of the cluster.
    std::string operatorToken;                 ///< Required by the administration API if not empty.
    std::vector<std::string> controlAddresses; ///< Addresses of all control processes.
    std::string adminListen = "127.0.0.1:0";   ///< Health, metrics and, on entries, administration.
    LogLevel logLevel = LogLevel::Info;
    std::uint32_t traceSamplePermille = 10; ///< Requests per thousand that an entry traces itself.

    // control
    std::string controlListen;
    std::string dataFolder;
    std::uint32_t targetVoters = 3;
    std::uint32_t snapshotEntries = 20'000; ///< Log entries between two snapshots.
    std::uint32_t voterLostSeconds = 30;    ///< Time without contact until a voter is replaced.

    // entry
    std::string entryListen;
    std::uint32_t entryConnections = 1024;

    // agent
    std::string agentListen;
    std::string agentRpcListen;
    std::string platformAddress; ///< The platform's interface on this worker.
    Resources capacity;

    std::uint32_t drainSeconds = 30; ///< Maximum wait for requests in flight at a planned stop.
};

} // namespace guavashift
