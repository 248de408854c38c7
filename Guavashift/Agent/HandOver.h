#pragma once

#include <Guavashift/State/State.h>

namespace guavashift {

/// What an agent reports of the requests with a key that it has accepted, when it is stopped as
/// planned and accepts no new one any more.
struct HandOver
{
    Incarnation incarnation; ///< Of the agent.
    std::vector<KeptAnswer> answers;
    /// Further requests that have run or may have run.
    std::vector<RequestId> withoutAnswer;
    std::uint64_t oldestWindow = 0; ///< From which on these are all.

    /// The commands that report it, in the order in which they must be committed.
    [[nodiscard]] std::vector<CommandBody> commands(const WorkerId &worker) const;
};

} // namespace guavashift
