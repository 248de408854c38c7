#include <Guavashift/Consensus/RecordFormat.h>

#include <cstring>

namespace guavashift {

namespace {

constexpr std::string_view magic = "GvS1";
constexpr std::size_t kindOffset = 4;
constexpr std::size_t lengthOffset = 5;
constexpr std::size_t checksumOffset = 9;
constexpr std::size_t headerBytes = 17;

/// Checksum of the payload and of kind and length, so that a damaged header is detected.
std::uint64_t checksumOf(std::string_view header, std::string_view payload)
{
    return hashBytes(payload) ^ hashBytes(header.substr(0, checksumOffset));
}

} // namespace

void appendRecord(std::string &buffer, RecordKind kind, std::string_view payload)
{
    std::string header(magic);
    header += static_cast<char>(kind);
    const auto length = static_cast<std::uint32_t>(payload.size());
    header.append(reinterpret_cast<const char *>(&length), sizeof(length));
    const std::uint64_t checksum = checksumOf(header, payload);
    header.append(reinterpret_cast<const char *>(&checksum), sizeof(checksum));
    buffer += header;
    buffer += payload;
}

std::optional<Record> takeRecord(std::string_view &bytes)
{
    if (bytes.size() < headerBytes || bytes.substr(0, magic.size()) != magic)
        return std::nullopt;
    std::uint32_t length = 0;
    std::memcpy(&length, bytes.data() + lengthOffset, sizeof(length));
    if (bytes.size() - headerBytes < length)
        return std::nullopt;
    const std::string_view payload = bytes.substr(headerBytes, length);
    std::uint64_t checksum = 0;
    std::memcpy(&checksum, bytes.data() + checksumOffset, sizeof(checksum));
    if (checksum != checksumOf(bytes, payload))
        return std::nullopt;
    const Record record{static_cast<RecordKind>(bytes[kindOffset]), payload};
    bytes.remove_prefix(headerBytes + length);
    return record;
}

bool containsRecord(std::string_view bytes)
{
    for (std::size_t at = bytes.find(magic); at != std::string_view::npos;
         at = bytes.find(magic, at + 1)) {
        std::string_view remaining = bytes.substr(at);
        if (takeRecord(remaining))
            return true;
    }
    return false;
}

} // namespace guavashift
