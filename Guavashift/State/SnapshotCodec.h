#pragma once

#include <Guavashift/State/StateMachine.h>

namespace guavashift {

/// Encodes and decodes the whole state as a sequence of length-prefixed CBOR records, so that at
/// most one record at a time is held as a JSON document.
class SnapshotCodec final
{
public:
    static std::string encode(const StateMachine &state);

    /// Fails for an unknown format version or damaged bytes; `state` is then unchanged.
    static Result<void> decode(std::string_view bytes, StateMachine &state);

    /// Hash of the encoded state. Equal on all replicas after the same index.
    static std::uint64_t hash(const StateMachine &state);
};

} // namespace guavashift
