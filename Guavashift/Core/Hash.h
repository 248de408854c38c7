#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace guavashift {

/// XXH3 64-bit hash of `bytes`. Equal on every VM.
std::uint64_t hashBytes(std::string_view bytes);

/// Encodes bytes as lowercase hexadecimal digits, two for each byte.
std::string encodeHex(std::string_view bytes);

/// Decodes lowercase hexadecimal digits. Any other character counts as 0; an odd last digit is
/// ignored.
std::string decodeHex(std::string_view digits);

/// Formats a 64-bit value, such as a hash, as 16 hexadecimal digits.
std::string hexOf(std::uint64_t value);

} // namespace guavashift
