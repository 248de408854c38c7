#include <Guavashift/Core/Hash.h>

#include <fmt/format.h>
#include <xxhash.h>

namespace guavashift {

std::uint64_t hashBytes(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string hexOf(std::uint64_t value)
{
    return fmt::format("{:016x}", value);
}

} // namespace guavashift
