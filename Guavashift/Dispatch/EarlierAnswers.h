#pragma once

#include <Guavashift/Stages/AnsweredLifetimes.h>

#include <vector>

namespace guavashift {

/// What a leader knows from the replicated state of the lifetimes that had bound runs when it
/// began: where each of them had answered, in the sessions of earlier leaders.
class EarlierAnswers final
{
public:
    EarlierAnswers() = default;
    explicit EarlierAnswers(const AnsweredLifetimes &answered)
        : m_entries(answered.entries())
    {
    }

    /// The lifetimes of other workers whose address has passed to `present`, which has answered at
    /// the worker of `node` in the time of this leader. Each of them had answered there before.
    /// None if the order of answers is not known or contradicts that. Those of the same name are
    /// not among them: `present` may carry out starts that were meant for them.
    [[nodiscard]] std::vector<Lifetime> endedBy(const std::string &node,
                                                const Lifetime &present) const;

private:
    std::map<Lifetime, AnsweredLifetimes::Entry> m_entries;
};

} // namespace guavashift
