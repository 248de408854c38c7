#include <Guavashift/Core/Hash.h>

#include <fmt/format.h>
#include <xxhash.h>

namespace guavashift {

std::uint64_t hashBytes(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string encodeHex(std::string_view bytes)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * bytes.size());
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        text += digits[byte >> 4U];
        text += digits[byte & 0xfU];
    }
    return text;
}

std::string decodeHex(std::string_view digits)
{
    const auto valueOf = [](char c) -> unsigned {
        if (c >= '0' && c <= '9')
            return static_cast<unsigned>(c - '0');
        return c >= 'a' && c <= 'f' ? static_cast<unsigned>(c - 'a') + 10U : 0U;
    };
    std::string bytes;
    bytes.reserve(digits.size() / 2);
    for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
        bytes += static_cast<char>((valueOf(digits[i]) << 4U) | valueOf(digits[i + 1]));
    return bytes;
}

std::string hexOf(std::uint64_t value)
{
    return fmt::format("{:016x}", value);
}

} // namespace guavashift
