#pragma once

#include <Guavashift/Core/Core.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace guavashift {

struct WorkerSpeedSettings
{
    /// Time after which an observation no longer counts: a worker that was slow is tried again.
    Duration memory = std::chrono::seconds(6);
    /// Latest observations of a worker that count.
    std::size_t observations = 7;
    /// Observations of full speed that are assumed beside them, so that neither one run that is
    /// long by nature nor two make a worker slow.
    std::size_t assumedObservations = 2;
    /// Workers that must have run tasks of a kind before their durations are compared.
    std::size_t minWorkers = 3;
};

/// A run of a task, compared with the other runs of its kind.
struct SpeedObservation
{
    std::string worker; ///< The lifetime that carries the run out.
    std::string kind;   ///< Tasks of one kind are expected to take equally long.
    std::string run;    ///< A later observation of the same run replaces the earlier one.
    /// How long the run takes, or will take if it goes on as it has. More than zero.
    Duration duration = Duration::zero();
};

/// How fast workers carry out tasks, learned from their runs against runs of the same kind on other
/// workers. Estimates of jobs are not used: they may be wrong for all tasks of a job alike. Medians
/// tell a slow worker, on which most runs take longer, from a run that is long by nature.
class WorkerSpeeds final
{
public:
    explicit WorkerSpeeds(const WorkerSpeedSettings &settings = {});

    void observe(const SpeedObservation &observation, Instant now);
    /// Speed of a worker, as a part of the others' speed: 1 if it is as fast as they are, or not
    /// known to be slower or faster.
    [[nodiscard]] double speed(std::string_view worker) const;
    /// Median duration of the latest runs of a kind. Empty if too few workers have run any.
    [[nodiscard]] std::optional<Duration> typicalDuration(std::string_view kind) const;
    /// Workers whose speed is below `limit`, the slowest first.
    [[nodiscard]] std::vector<std::string> slowerThan(double limit) const;

    /// Drops observations that no longer count, and what follows from them.
    void expire(Instant now);
    void forget(std::string_view worker);
    void clear();

private:
    struct Observed
    {
        std::string run;
        Duration duration = Duration::zero();
        double relativeSpeed = 1;
        Instant at;
    };

    struct Kind
    {
        std::map<std::string, Duration, std::less<>> latest; ///< By worker.
        Instant usedAt;
    };

    [[nodiscard]] std::optional<Duration> typicalOf(const Kind &kind) const;
    void updateSpeed(const std::string &worker);

    WorkerSpeedSettings m_settings;
    std::map<std::string, Kind, std::less<>> m_kinds;
    std::map<std::string, std::vector<Observed>, std::less<>> m_observed; ///< By worker.
    std::map<std::string, double, std::less<>> m_speeds;                  ///< Other than 1.
};

} // namespace guavashift
