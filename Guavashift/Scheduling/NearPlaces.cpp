#include <Guavashift/Scheduling/NearPlaces.h>

#include <algorithm>

namespace guavashift {

namespace {

Resources times(const Resources &size, std::uint32_t count)
{
    return {size.milliCores * count, size.memoryMb * count, size.accelerators * count};
}

Duration divided(Duration duration, double share)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) / share));
}

} // namespace

std::string_view nameOf(NearOutcome outcome)
{
    switch (outcome) {
    case NearOutcome::NearPlace:
        return "near";
    case NearOutcome::GivenUp:
        return "far";
    case NearOutcome::Ended:
        break;
    }
    return "ended";
}

NearPlaces::NearPlaces(const NearPlacesSettings &settings)
    : m_settings(settings)
    , m_wait(settings.wait)
    , m_rates(settings.rates)
{
}

void NearPlaces::beginRound(Instant now)
{
    m_ahead.clear();
    m_choices.clear();
    for (auto each = m_waiting.begin(); each != m_waiting.end();) {
        const auto waiting = each++;
        if (now - waiting->second.askedAt > m_settings.forgetAfter)
            endWait(waiting, NearOutcome::Ended, now);
    }
}

void NearPlaces::ended(const std::string &rack, const Resources &freed, Instant now)
{
    m_rates.ended(rack, freed, now);
}

std::optional<Vacancy> NearPlaces::vacancy(const std::string &rack, const Resources &needed,
                                           Instant now) const
{
    std::optional<Vacancy> vacancy = m_rates.timeUntil(rack, needed, now);
    // Others take part of the room that comes free.
    const auto success = m_success.find(rack);
    if (vacancy && success != m_success.end())
        vacancy->expected =
            divided(vacancy->expected, std::max(success->second, m_settings.leastSuccess));
    return vacancy;
}

bool NearPlaces::decide(const TaskRef &task, const std::string &rack, const Resources &needed,
                        Duration work, Duration slack, Instant now)
{
    const auto ahead = m_ahead.try_emplace(rack).first;
    const Resources total = ahead->second + needed;
    const auto known = m_waiting.find(task);
    const Duration waited = known == m_waiting.end() ? Duration::zero() : now - known->second.since;
    if (m_wait.choose({work, slack, waited, vacancy(rack, total, now)}) == NearChoice::TakeFar)
        return false;
    ahead->second = total;
    const auto waiting = m_waiting.try_emplace(task, Waiting{rack, work, now, now}).first;
    waiting->second.rack = rack;
    waiting->second.askedAt = now;
    return true;
}

bool NearPlaces::waits(const TaskRef &task, const std::string &rack, const Resources &size,
                       Duration work, Duration slack, Instant now)
{
    return decide(task, rack, size, work, slack, now);
}

GroupChoice NearPlaces::chooseRack(const TaskRef &first, std::uint32_t members,
                                   const Resources &size, Duration work, Duration slack,
                                   std::span<const RackRoom> rooms, Instant now)
{
    const auto [choice, added] = m_choices.try_emplace(first);
    if (!added)
        return choice->second;
    const auto widest = std::max_element(
        rooms.begin(), rooms.end(),
        [](const RackRoom &left, const RackRoom &right) { return left.now < right.now; });
    if (widest != rooms.end() && widest->now >= members)
        return choice->second = {false, widest->rack};
    // The rack on which the rest comes free first.
    const RackRoom *soonest = nullptr;
    Duration shortest = Duration::max();
    const auto missing = [&](const RackRoom &room) { return times(size, members - room.now); };
    for (const RackRoom &room : rooms) {
        if (room.ever < members)
            continue;
        const auto ahead = m_ahead.find(room.rack);
        const std::optional<Vacancy> rest = vacancy(
            room.rack, ahead == m_ahead.end() ? missing(room) : ahead->second + missing(room), now);
        if (rest && rest->expected < shortest) {
            soonest = &room;
            shortest = rest->expected;
        }
    }
    if (soonest != nullptr && decide(first, soonest->rack, missing(*soonest), work, slack, now))
        choice->second = {true, soonest->rack};
    return choice->second;
}

std::optional<GroupChoice> NearPlaces::choiceOf(const TaskRef &first) const
{
    const auto found = m_choices.find(first);
    return found == m_choices.end() ? std::nullopt : std::optional(found->second);
}

void NearPlaces::placed(const TaskRef &task, bool isNear, Instant now)
{
    const auto waiting = m_waiting.find(task);
    if (waiting != m_waiting.end())
        endWait(waiting, isNear ? NearOutcome::NearPlace : NearOutcome::GivenUp, now);
}

void NearPlaces::endWait(std::map<TaskRef, Waiting>::iterator waiting, NearOutcome outcome,
                         Instant now)
{
    const auto &[task, wait] = *waiting;
    const bool isNear = outcome == NearOutcome::NearPlace;
    if (outcome != NearOutcome::Ended) {
        double &success = m_success.try_emplace(wait.rack, 1.0).first->second;
        success += m_settings.outcomeWeight * ((isNear ? 1.0 : 0.0) - success);
    }
    m_ends.push_back(
        {task, outcome, now - wait.since, isNear ? m_wait.lossOf(wait.work) : Duration::zero()});
    m_waiting.erase(waiting);
}

} // namespace guavashift
