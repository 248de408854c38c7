#pragma once

#include <string>
#include <vector>

namespace guavashift {

/// Length-framed messages: four bytes of length in network order, then the payload. This header is
/// plain C++14 because the JSON-RPC client unit includes it.
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

/// First frame of each connection: proves that both ends belong to the same cluster.
inline std::string helloFrame(const std::string &clusterId, const std::string &clusterKey)
{
    return "guavashift-rpc/1 " + std::to_string(clusterId.size()) + " " + clusterId + clusterKey;
}

} // namespace guavashift
