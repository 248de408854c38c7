#pragma once

#include <Guavashift/Core/Time.h>

#include <string>

namespace guavashift {

/// Settings of connections between the system's own processes. Cluster id and key must be the same
/// at both ends.
struct RpcSettings
{
    std::string clusterId = "guavashift";
    std::string clusterKey;
    Duration connectTimeout = std::chrono::milliseconds(500);
    std::size_t maxFrameBytes = 64 << 20;
    /// Threads that run the server's handlers. A handler may block while it waits for a commit.
    unsigned handlerThreads = 16;
};

} // namespace guavashift
