#include <Guavashift/Dispatch/LifetimeProof.h>

#include <array>

namespace guavashift {

std::string_view nameOf(LifetimeProof proof)
{
    constexpr std::array<std::string_view, 3> names{"answered-by-another", "answered-by-next",
                                                    "lease-ran-out"};
    const auto index = static_cast<std::size_t>(proof);
    return index < names.size() ? names.at(index) : "other";
}

std::string_view nameOf(const std::optional<LifetimeProof> &proof)
{
    return proof ? nameOf(*proof) : "none";
}

} // namespace guavashift
