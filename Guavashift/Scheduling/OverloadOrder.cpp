#include <Guavashift/Scheduling/OverloadOrder.h>

#include <algorithm>
#include <map>
#include <optional>
#include <queue>

namespace guavashift {

std::string_view nameOf(Standing standing)
{
    switch (standing) {
    case Standing::InTime:
        return "in-time";
    case Standing::Ending:
        return "ending";
    case Standing::PutBack:
        return "put-back";
    case Standing::Late:
        return "late";
    case Standing::Last:
        break;
    }
    return "last";
}

/// A schedule that is filled in order of due times. Work is in milliseconds of the whole room.
class OverloadOrder::Selection final
{
public:
    Selection(const OverloadOrderSettings &settings, std::span<const JobClaim> claims,
              std::span<const std::size_t> members, double roomMilliCores)
        : m_settings(settings)
        , m_claims(claims)
        , m_roomMilliCores(roomMilliCores)
    {
        for (const std::size_t index : members) {
            QueueSums &sums = m_queues[claims[index].queue];
            sums.work += claims[index].work;
            sums.meanWork += 1;
            m_work += claims[index].work;
        }
        for (auto &[queue, sums] : m_queues)
            sums.meanWork = std::max(sums.work / sums.meanWork, 1.0);
    }

    [[nodiscard]] double timeOf(std::size_t index) const
    {
        return m_claims[index].work / m_roomMilliCores;
    }

    /// Time that the job takes once those before it are done.
    [[nodiscard]] double leastTimeOf(std::size_t index) const
    {
        return std::max(timeOf(index), m_claims[index].chainMs);
    }

    [[nodiscard]] double meanWork(std::string_view queue) const
    {
        return m_queues.at(queue).meanWork;
    }

    /// Adds a job to the schedule. `goesOn`: it is not taken out again.
    void add(std::size_t index, bool goesOn)
    {
        const JobClaim &claim = m_claims[index];
        QueueSums &sums = m_queues.at(claim.queue);
        const double valued = std::min(claim.work / sums.meanWork, m_settings.mostWorkValued);
        const double value = m_settings.valueOfAnswer + (1 - m_settings.valueOfAnswer) * valued;
        if (goesOn)
            m_leastCost = std::max(m_leastCost, m_settings.leastCostForBegun * claim.work / value);
        else
            sums.candidates.emplace(claim.work / value, index);
    }

    /// Takes the candidate out that costs most room for its value, from a queue that has not lost
    /// too much against the others; from the one that has lost least if all have. Nothing if those
    /// that go on cost so much more that no candidate should give way for them.
    std::optional<std::size_t> drop()
    {
        QueueSums *chosen = nullptr;
        bool chosenIsFair = false;
        for (auto &entry : m_queues) {
            QueueSums &sums = entry.second;
            if (sums.candidates.empty() || sums.candidates.top().first < m_leastCost)
                continue;
            const double work = m_claims[sums.candidates.top().second].work;
            const double excess = (sums.lost + work) / std::max(sums.work, 1.0)
                - (m_lost + work) / std::max(m_work, 1.0);
            const bool isFair = excess <= m_settings.mostExcessLoss;
            const auto costsMore = [&] {
                return isFair ? sums.candidates.top() > chosen->candidates.top()
                              : sums.lost / sums.work < chosen->lost / chosen->work;
            };
            if (chosen == nullptr || (isFair && !chosenIsFair)
                || (isFair == chosenIsFair && costsMore())) {
                chosen = &sums;
                chosenIsFair = isFair;
            }
        }
        if (chosen == nullptr)
            return std::nullopt;
        const std::size_t index = chosen->candidates.top().second;
        chosen->candidates.pop();
        chosen->lost += m_claims[index].work;
        m_lost += m_claims[index].work;
        return index;
    }

private:
    struct QueueSums
    {
        double work = 0;
        double meanWork = 0;
        double lost = 0;
        std::priority_queue<std::pair<double, std::size_t>> candidates; ///< By room for value.
    };

    const OverloadOrderSettings &m_settings;
    std::span<const JobClaim> m_claims;
    double m_roomMilliCores;
    std::map<std::string_view, QueueSums> m_queues;
    double m_work = 0;
    double m_lost = 0;
    double m_leastCost = 0; ///< Of a job that gives way.
};

OverloadOrder::OverloadOrder(const OverloadOrderSettings &settings)
    : m_settings(settings)
{
}

Arrangement OverloadOrder::arrange(std::span<const JobClaim> claims, double roomMilliCores) const
{
    Arrangement arrangement;
    arrangement.places.resize(claims.size());
    std::map<std::int32_t, std::vector<std::size_t>> priorities;
    for (std::size_t i = 0; i < claims.size(); ++i)
        priorities[claims[i].priority].push_back(i);
    double aheadMs = 0;
    for (const auto &[priority, members] : priorities) {
        arrangePriority(claims, members, aheadMs, roomMilliCores, arrangement);
        for (const std::size_t index : members)
            aheadMs += claims[index].work / roomMilliCores;
    }
    return arrangement;
}

void OverloadOrder::arrangePriority(std::span<const JobClaim> claims,
                                    std::span<const std::size_t> members, double aheadMs,
                                    double roomMilliCores, Arrangement &arrangement) const
{
    std::vector<JobPlace> &places = arrangement.places;
    const auto sortByDue = [&](std::vector<std::size_t> &indices) {
        std::sort(indices.begin(), indices.end(), [&](std::size_t left, std::size_t right) {
            return std::pair(places[left].dueMs, claims[left].job)
                < std::pair(places[right].dueMs, claims[right].job);
        });
    };
    Selection first(m_settings, claims, members, roomMilliCores);
    // First all that can be in time: of these, as many as fit.
    std::vector<std::size_t> order;
    for (const std::size_t index : members) {
        const JobClaim &claim = claims[index];
        const double least =
            claim.begun ? claim.chainMs * (1 - m_settings.chainTolerance) : claim.chainMs;
        const bool canBeInTime = least <= claim.objectiveMs;
        // What a late job that has begun still costs for its value, against the mean of its queue.
        const bool isEnding = !canBeInTime && claim.begun && claim.chainMs <= claim.worthlessMs
            && claim.work <= m_settings.valueOfLate * first.meanWork(claim.queue);
        if (isEnding)
            places[index] = {Standing::Ending, claim.objectiveMs};
        else if (canBeInTime)
            places[index] = {Standing::InTime, claim.objectiveMs};
        else
            places[index] = {Standing::Late, claim.worthlessMs};
        if (canBeInTime)
            order.push_back(index);
        else if (isEnding)
            aheadMs += first.timeOf(index);
    }
    sortByDue(order);
    double end = aheadMs;
    double endOfAll = aheadMs;
    for (const std::size_t index : order) {
        const double dueMs = std::max(places[index].dueMs, 1.0);
        arrangement.load =
            std::max(arrangement.load, (endOfAll + first.leastTimeOf(index)) / dueMs);
        endOfAll += first.timeOf(index);
        end += first.timeOf(index);
        first.add(index, claims[index].begun);
        while (places[index].standing == Standing::InTime
               && end - first.timeOf(index) + first.leastTimeOf(index) > dueMs) {
            const std::optional<std::size_t> dropped = first.drop();
            if (!dropped)
                break;
            end -= first.timeOf(*dropped);
            places[*dropped] = {Standing::PutBack, claims[*dropped].worthlessMs};
        }
    }
    // Then those that are late or put back, in the room that the first leave. They are merged by
    // due time, so that none is given up while there is room for it before its time.
    order.clear();
    std::copy_if(members.begin(), members.end(), std::back_inserter(order),
                 [&](std::size_t index) { return places[index].standing != Standing::Ending; });
    sortByDue(order);
    Selection second(m_settings, claims, members, roomMilliCores);
    end = aheadMs;
    for (const std::size_t index : order) {
        const bool isFirst = places[index].standing == Standing::InTime;
        if (!isFirst && claims[index].chainMs > places[index].dueMs) {
            places[index].standing = Standing::Last;
            continue;
        }
        end += second.timeOf(index);
        second.add(index, isFirst);
        while (places[index].standing != Standing::Last
               && end - second.timeOf(index) + second.leastTimeOf(index) > places[index].dueMs) {
            const std::optional<std::size_t> dropped = second.drop();
            if (!dropped)
                break;
            end -= second.timeOf(*dropped);
            places[*dropped].standing = Standing::Last;
        }
    }
}

} // namespace guavashift
