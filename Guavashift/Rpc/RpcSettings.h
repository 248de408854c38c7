#pragma once

#include <Guavashift/Core/Time.h>

#include <string>

namespace guavashift {

/// What both ends of a connection between own processes must agree on, and limits.
struct RpcSettings
{
    std::string clusterId = "guavashift";
    std::string clusterKey;
    Duration connectTimeout = std::chrono::milliseconds(500);
    std::size_t maxFrameBytes = 64 << 20;
    /// Threads that run the server's handlers; a handler may wait for a commit.
    unsigned handlerThreads = 16;
};

} // namespace guavashift
