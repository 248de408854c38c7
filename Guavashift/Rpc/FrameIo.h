#pragma once

#include <string>
#include <vector>

namespace guavashift {

/// Header of a frame: the payload's length as four bytes in network order. The payload follows.
/// This file is plain C++14 because JsonRpcCaller.cpp includes it.
struct FrameHeader
{
    static constexpr unsigned bytes = 4;

    static std::string encode(unsigned long size)
    {
        std::string header(bytes, '\0');
        for (unsigned i = 0; i < bytes; ++i)
            header[i] = static_cast<char>((size >> (8 * (bytes - 1 - i))) & 0xffU);
        return header;
    }

    static unsigned long decode(const char *header)
    {
        unsigned long size = 0;
        for (unsigned i = 0; i < bytes; ++i)
            size = (size << 8U) | static_cast<unsigned char>(header[i]);
        return size;
    }
};

/// First frame from the client on each connection: proves that it belongs to the same cluster.
inline std::string helloFrame(const std::string &clusterId, const std::string &clusterKey)
{
    return "guavashift-rpc/1 " + std::to_string(clusterId.size()) + " " + clusterId + clusterKey;
}

} // namespace guavashift
