#include <Guavashift/Dispatch/SettleReason.h>

#include <array>

namespace guavashift {

namespace {

constexpr std::array<std::string_view, 10> reasonNames{"start-refused",    "not-in-inventory",
                                                       "earlier-lifetime", "lifetime-left",
                                                       "lifetime-crashed", "lifetime-unreachable",
                                                       "lease-expired",    "no-session",
                                                       "over-capacity",    "evacuated"};

} // namespace

std::string_view nameOf(SettleReason reason)
{
    return reasonNames.at(static_cast<std::size_t>(reason));
}

} // namespace guavashift
