#pragma once

#include <Guavashift/Core/Core.h>

#include <deque>
#include <map>
#include <string>

namespace guavashift {

/// Submissions that were refused and may come back. Bounded in number and time. Held by the leader
/// only: a new leader takes them for first ones.
class ReturningJobs final
{
public:
    explicit ReturningJobs(std::size_t most = 10'000, Duration kept = std::chrono::seconds(60));

    /// Records a refusal, and forgets those that are too old or too many.
    void refused(const std::string &job, Instant now);
    /// Whether the job was refused and is remembered.
    [[nodiscard]] bool contains(std::string_view job) const { return m_refused.contains(job); }
    void forget(std::string_view job);
    void clear();
    [[nodiscard]] std::size_t size() const { return m_refused.size(); }

private:
    std::size_t m_most;
    Duration m_kept;
    std::map<std::string, Instant, std::less<>> m_refused; ///< Time of the first refusal.
    std::deque<std::pair<Instant, std::string>> m_order;
};

} // namespace guavashift
