#pragma once

#include <Guavashift/Dispatch/Dispatch.h>

namespace guavashift {

/// Describes the state for messages of tests. Exclusions are given by their number.
inline std::string textOf(const WaitState &state)
{
    return std::visit(
        Overloaded{[](const UntrackedState &) { return std::string("neither queued nor placed"); },
                   [](const QueuedState &queued) {
                       std::string text = fmt::format("queued, eligible {}, awaits trial {}",
                                                      queued.eligible, queued.awaitsTrial);
                       for (std::size_t i = 0; i < exclusionCount; ++i) {
                           if (queued.excluded.at(i) > 0)
                               text +=
                                   fmt::format(", exclusion {} on {}", i, queued.excluded.at(i));
                       }
                       return text;
                   },
                   [](const BoundState &bound) {
                       return fmt::format("bound to {} as run {}, committed {}, listed {}, stop "
                                          "{}, end proposed {}",
                                          bound.worker, bound.run, bound.committed, bound.listed,
                                          bound.stopRequested, bound.endProposed);
                   }},
        state);
}

} // namespace guavashift
