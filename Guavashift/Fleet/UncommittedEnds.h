#pragma once

#include <Guavashift/Fleet/FleetMessages.h>

namespace guavashift {

/// Ends that a worker has listed and the leader has not committed yet. Its agent keeps them, since
/// the leader may be lost before the commit, and the worker or its lifetime may be gone by the time
/// of the next session. Reads no clock.
class UncommittedEnds final
{
public:
    /// Keeps an end. Forgets those of the lifetime that was added first if there are too many
    /// lifetimes.
    void add(const Lifetime &lifetime, const ListedEnd &end);
    /// Forgets the ends of a lifetime up to that number.
    void committed(const Lifetime &lifetime, std::uint64_t upTo);
    /// All ends in the order of their numbers, in messages of limited size.
    [[nodiscard]] std::vector<RunsEnded> messages() const;

private:
    struct Kept
    {
        std::uint64_t order = 0; ///< Rises with each lifetime that is added.
        std::map<std::uint64_t, ListedEnd> ends;
    };

    std::map<Lifetime, Kept> m_lifetimes;
    std::uint64_t m_lastOrder = 0;
};

} // namespace guavashift
