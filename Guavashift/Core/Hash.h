#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace guavashift {

/// XXH3 64-bit hash of `bytes`. The same on every VM.
std::uint64_t hashBytes(std::string_view bytes);

/// Any bytes as hexadecimal digits, and back; wrong digits read as 0.
std::string encodeHex(std::string_view bytes);
std::string decodeHex(std::string_view digits);

/// The hash as 16 hexadecimal digits.
std::string hexOf(std::uint64_t value);

} // namespace guavashift
