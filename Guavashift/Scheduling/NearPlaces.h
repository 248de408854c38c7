#pragma once

#include <Guavashift/Scheduling/NearWait.h>
#include <Guavashift/Stages/Stages.h>

#include <span>
#include <vector>

namespace guavashift {

struct NearPlacesSettings
{
    NearWaitSettings wait;
    VacancyRatesSettings rates;
    /// Weight of the latest wait in the share of waits that end on a near place.
    double outcomeWeight = 0.2;
    /// Lower limit of that share, so that waits are tried again.
    double leastSuccess = 0.1;
    /// A task that has not asked for this long does not wait any more.
    Duration forgetAfter = std::chrono::seconds(2);
};

/// Room on one rack for the members of a group.
struct RackRoom
{
    std::string rack;
    std::uint32_t now = 0;  ///< Members that fit now.
    std::uint32_t ever = 0; ///< Members that fit once other runs have ended.
};

/// Where a group starts whose members are slower on several racks.
struct GroupChoice
{
    bool wait = false;
    std::string rack; ///< Takes all members, now or after the wait. Empty: best spread now.
};

enum class NearOutcome : std::uint8_t {
    NearPlace, ///< The task got a near place.
    GivenUp,   ///< It took a far place.
    Ended      ///< It did not start: its job ended, or it found no place at all.
};
std::string_view nameOf(NearOutcome outcome);

/// A wait for a near place that is over.
struct NearWaitEnd
{
    TaskRef task;
    NearOutcome outcome = NearOutcome::Ended;
    Duration waited = Duration::zero();
    /// Time that the near place saves by the estimate; zero on a far one.
    Duration saved = Duration::zero();
};

/// Waits of tasks for places near their data or their group. A task that waits only declines far
/// places: no room is held for it, and others may take every place.
class NearPlaces final
{
public:
    explicit NearPlaces(const NearPlacesSettings &settings);

    /// Begins a round of placement, in which each waiting task asks again.
    void beginRound(Instant now);
    /// Records the end of a run that had reserved `freed` on the rack.
    void ended(const std::string &rack, const Resources &freed, Instant now);

    /// Whether a task that could take a far place now waits for one on `rack`. Tasks that wait are
    /// to ask in their scheduling order: each waits behind those before it.
    [[nodiscard]] bool waits(const TaskRef &task, const std::string &rack, const Resources &size,
                             Duration work, Duration slack, Instant now);
    /// Where a group of `members` tasks starts of which none runs yet. `first` stands for it. The
    /// choice holds for the round.
    GroupChoice chooseRack(const TaskRef &first, std::uint32_t members, const Resources &size,
                           Duration work, Duration slack, std::span<const RackRoom> rooms,
                           Instant now);
    /// The choice of this round for the group; empty: none was made.
    [[nodiscard]] std::optional<GroupChoice> choiceOf(const TaskRef &first) const;
    /// Records that a task, or the group for which it stands, was placed.
    void placed(const TaskRef &task, bool isNear, Instant now);

    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }
    std::vector<NearWaitEnd> takeEnds() { return std::exchange(m_ends, {}); }

private:
    struct Waiting
    {
        std::string rack;
        Duration work = Duration::zero();
        Instant since;
        Instant askedAt;
    };

    [[nodiscard]] std::optional<Vacancy> vacancy(const std::string &rack, const Resources &needed,
                                                 Instant now) const;
    /// Decides for `needed` on the rack, and lets the task wait if that pays.
    bool decide(const TaskRef &task, const std::string &rack, const Resources &needed,
                Duration work, Duration slack, Instant now);
    void endWait(std::map<TaskRef, Waiting>::iterator waiting, NearOutcome outcome, Instant now);

    NearPlacesSettings m_settings;
    NearWait m_wait;
    VacancyRates m_rates;
    std::map<TaskRef, Waiting> m_waiting;
    std::map<TaskRef, GroupChoice>
        m_choices; ///< Of this round, by the task that stands for the group.
    std::map<std::string, Resources> m_ahead; ///< Needed by waits of this round, by rack.
    std::map<std::string, double> m_success;  ///< Share of waits that got a near place, by rack.
    std::vector<NearWaitEnd> m_ends;
};

} // namespace guavashift
