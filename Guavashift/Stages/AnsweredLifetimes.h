#pragma once

#include <Guavashift/Stages/JobPlan.h>

#include <map>
#include <string>

namespace guavashift {

/// The way to a worker by which the leader has a run started.
struct StartPath
{
    std::string node; ///< Node whose agent receives the order; empty: not known.
    /// Whether the lifetime had answered in that agent's session at the address of its worker, and
    /// starts reach no other lifetime, see AnsweredLifetimes.
    bool hasAnswered = false;

    bool operator==(const StartPath &) const = default;
};

/// At which node each lifetime with bound runs has answered, in which order. A leader that knows of
/// it from an earlier one can tell which lifetimes have ended once another one answers there.
/// Holds one entry for each lifetime with a bound run, and no others. Deterministic; part of the
/// replicated state.
class AnsweredLifetimes final
{
public:
    struct Entry
    {
        /// The node that all its bound runs were started by; empty: several, or not known.
        std::string node;
        /// Rises with the time of the answer; 0: it is not known that it has answered there.
        std::uint64_t order = 0;
        std::uint32_t boundRuns = 0;

        bool operator==(const Entry &) const = default;
        /// Whether the entry tells where the lifetime has answered.
        [[nodiscard]] bool isUsable() const { return order > 0 && !node.empty(); }
    };

    /// Records that a run was bound. Runs that were bound by another way, or by an unknown one,
    /// leave the lifetime without a node until none of its runs is bound.
    void bound(const Lifetime &lifetime, const StartPath &path);
    /// Records that a bound run has ended.
    void released(const Lifetime &lifetime);

    [[nodiscard]] const std::map<Lifetime, Entry> &entries() const { return m_entries; }
    /// The highest order given so far.
    [[nodiscard]] std::uint64_t lastOrder() const { return m_lastOrder; }

    /// Adds a bound run that was loaded from a saved state, before restore().
    void boundBefore(const Lifetime &lifetime) { ++m_entries[lifetime].boundRuns; }
    /// Restores what was saved of a lifetime. Has no effect if none of its runs is bound.
    void restore(const Lifetime &lifetime, std::string node, std::uint64_t order);
    void restoreLastOrder(std::uint64_t order) { m_lastOrder = order; }

private:
    std::map<Lifetime, Entry> m_entries;
    std::uint64_t m_lastOrder = 0;
};

} // namespace guavashift
