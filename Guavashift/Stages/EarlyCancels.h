#pragma once

#include <Guavashift/Core/Core.h>

#include <map>
#include <set>
#include <string>

namespace guavashift {

/// Ids of jobs that were cancelled while no job had them, by the time of the cancel. A submission
/// that was sent before the cancel may arrive after it.
class EarlyCancels final
{
public:
    /// `most`: number of ids kept; the oldest are dropped beyond it.
    explicit EarlyCancels(std::size_t most);

    /// Records a cancel, also if the id was recorded before.
    void record(const std::string &job, WallMs time);
    /// Removes an id. Returns whether it was recorded.
    bool take(std::string_view job);
    /// Removes all ids that were recorded before `time`.
    void removeBefore(WallMs time);
    [[nodiscard]] std::size_t size() const { return m_times.size(); }
    /// All ids with their times, the oldest first.
    [[nodiscard]] const std::set<std::pair<WallMs, std::string>> &entries() const
    {
        return m_byTime;
    }

private:
    void removeOldest();

    std::size_t m_most;
    std::map<std::string, WallMs, std::less<>> m_times;
    std::set<std::pair<WallMs, std::string>> m_byTime;
};

} // namespace guavashift
