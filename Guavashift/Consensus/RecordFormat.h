#pragma once

#include <Guavashift/Core/Core.h>

#include <optional>
#include <string>
#include <string_view>

namespace guavashift {

/// Content of a record on disk. The payload is CBOR, except for snapshot data, which is stored raw.
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

/// Reads the record at the front of `bytes` and advances `bytes` past it. Returns nothing if the
/// record is incomplete or damaged. The payload refers to the memory of `bytes`.
std::optional<Record> takeRecord(std::string_view &bytes);

/// Whether an intact record starts anywhere in `bytes`. Called on the bytes after a damaged record,
/// this distinguishes damage in the middle of the log from a torn tail.
bool containsRecord(std::string_view bytes);

} // namespace guavashift
