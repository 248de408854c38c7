#pragma once

#include <Guavashift/Core/Core.h>

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace guavashift {

struct OverloadOrderSettings
{
    /// Part of a job's remaining chain that may turn out to be shorter. A job that has begun is
    /// given up only if it would be late even then.
    double chainTolerance = 0.25;
    /// Share of the value of a job to its caller that does not depend on its work: the caller needs
    /// an answer, and a larger job answers more.
    double valueOfAnswer = 0.5;
    /// A job gives way for one that has begun only if it takes at least this share of the room for
    /// its value that the other still takes.
    double leastCostForBegun = 1.0 / 3;
    /// Value of a late completion, as a share of that of one in time.
    double valueOfLate = 0.2;
    /// Greatest work that counts for the value, in multiples of the mean of its queue.
    double mostWorkValued = 4;
    /// Share of its work by which a queue may be put back more than all queues of its priority
    /// together, as long as other queues have jobs that can be put back.
    double mostExcessLoss = 0.2;
};

/// One job that asks for room. Times are in milliseconds from now.
struct JobClaim
{
    std::string_view job;
    std::string_view queue;
    std::int32_t priority = 0;
    double work = 0;    ///< Milli-core-milliseconds that are left.
    double chainMs = 0; ///< Time that it takes at full speed.
    double objectiveMs = 0;
    double worthlessMs = 0;
    bool begun = false; ///< Goes on as long as it can be in time.
};

/// What a job may expect.
enum class Standing : std::uint8_t {
    InTime,  ///< Can meet its objective.
    Ending,  ///< Late, but so little is left of it that it is worth to be ended first.
    PutBack, ///< Gives way to jobs that can, and can be worth something after them.
    Late,    ///< Can't meet its objective any more, and can be worth something.
    Last     ///< Would be worth nothing in the room that others leave.
};
std::string_view nameOf(Standing standing);

/// A job's place. Jobs of equal priority go by `standing`, then by `dueMs`.
struct JobPlace
{
    Standing standing = Standing::InTime;
    double dueMs = 0;
};

struct Arrangement
{
    std::vector<JobPlace> places; ///< In the order of the claims.
    /// Greatest ratio of work that is due up to a time to the room until then, of the jobs that
    /// could be in time if they were alone. Above 1 some of them will not be.
    double load = 0;
};

/// Chooses among jobs whose work exceeds the room there is: which of them will be in time, which
/// give way. Jobs are looked at whole: room that is shared among all makes all of them late.
///
/// In order of their objectives, jobs are taken into a schedule; whenever it overflows, the job
/// that takes most room for its value is put back (the rule of Moore and Hodgson, with weights). A
/// job that has begun and can still be in time is never put back: what it has done would be of no
/// use. Jobs that are put back or late get the room that is left, by the same rule, before they
/// are worth nothing. The room is taken as one: what fits into it may still find no worker.
class OverloadOrder final
{
public:
    explicit OverloadOrder(const OverloadOrderSettings &settings = {});

    /// `roomMilliCores`: for all of the jobs together, above 0.
    [[nodiscard]] Arrangement arrange(std::span<const JobClaim> claims,
                                      double roomMilliCores) const;

private:
    class Selection;

    void arrangePriority(std::span<const JobClaim> claims, std::span<const std::size_t> members,
                         double aheadMs, double roomMilliCores, Arrangement &arrangement) const;

    OverloadOrderSettings m_settings;
};

} // namespace guavashift
