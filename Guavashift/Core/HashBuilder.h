#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace guavashift {

/// Computes one hash over a sequence of values. Equal on every VM for equal sequences.
class HashBuilder final
{
public:
    void add(std::uint64_t value);
    /// Adds the text and its length.
    void add(std::string_view text);

    [[nodiscard]] std::uint64_t value() const;

private:
    void flushIfLong();

    std::string m_pending;
    std::uint64_t m_hash = 0; ///< Of what was added before `m_pending`.
};

} // namespace guavashift
