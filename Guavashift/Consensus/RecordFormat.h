#pragma once

#include <Guavashift/Core/Core.h>

#include <optional>
#include <string>
#include <string_view>

namespace guavashift {

/// What a record on disk holds. The payload is CBOR but for snapshot data.
enum class RecordKind : std::uint8_t {
    HardState = 1,
    Entry = 2,
    Truncate = 3,
    SnapshotHeader = 4,
    SnapshotData = 5,
};

struct Record
{
    RecordKind kind = RecordKind::Entry;
    std::string_view payload;
};

/// Appends one record: magic (4 bytes), kind (1), payload length (4), checksum (8), payload.
void appendRecord(std::string &buffer, RecordKind kind, std::string_view payload);

/// The record at the front of `bytes`, or nothing if it is cut off or damaged. On success `bytes`
/// is advanced past it.
std::optional<Record> takeRecord(std::string_view &bytes);

/// Whether a whole record starts anywhere in `bytes`. Behind a damaged place it tells a tail that
/// was cut off from damage in the middle.
bool containsRecord(std::string_view bytes);

} // namespace guavashift
