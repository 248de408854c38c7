#include <Guavashift/Dispatch/WorkerFacts.h>

#include <array>

namespace guavashift {

std::string_view nameOf(LifetimeEnd end)
{
    constexpr std::array<std::string_view, 3> names{"left", "unreachable", "crashed"};
    // Another version of the program may send a value that has no name here.
    const auto index = static_cast<std::size_t>(end);
    return index < names.size() ? names.at(index) : "other";
}

} // namespace guavashift
