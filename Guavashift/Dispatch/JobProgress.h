#pragma once

#include <Guavashift/Core/Core.h>

#include <map>
#include <string>

namespace guavashift {

/// Which active jobs have begun, as far as this leader knows. A job has begun once a worker has
/// started one of its tasks, as a list of running or ended runs shows. A bound run is no start: its
/// order may have no answer and be carried out seconds later, or never.
///
/// A new leader learns it again: from ends in the replicated state, and from the lists of running
/// runs that each session begins with. Until then it takes a job for one that waits.
class JobProgress final
{
public:
    /// Records that a run of the job was bound.
    void bound(const std::string &job, const std::string &queue);
    /// Records that a run of the job has begun. Does nothing for a job without a bound run.
    void begun(const std::string &job);
    /// Forgets a job that has ended.
    void ended(const std::string &job);
    void clear();

    /// Whether runs of the job were bound and none is known to have begun.
    [[nodiscard]] bool isOnlyBound(std::string_view job) const;
    /// Number of such jobs of a queue.
    [[nodiscard]] std::size_t onlyBoundIn(std::string_view queue) const;

private:
    struct Entry
    {
        std::string queue;
        bool hasBegun = false;
    };

    std::map<std::string, Entry, std::less<>> m_jobs;
    std::map<std::string, std::size_t, std::less<>> m_onlyBound; ///< By queue.
};

} // namespace guavashift
