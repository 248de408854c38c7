#pragma once

#include <Guavashift/State/Records.h>

#include <variant>

namespace guavashift {

/// The command took effect, now or earlier.
struct Applied
{
    static constexpr std::string_view kind = "applied";
    bool changed = true;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Applied, changed)

/// The command contradicts the state; nothing has changed.
struct Rejected
{
    static constexpr std::string_view kind = "rejected";
    std::string reason;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Rejected, reason)

struct JobAccepted
{
    static constexpr std::string_view kind = "job-accepted";
    bool resent = false;
    /// Reasons why none of the known workers could ever run it; empty if one could.
    Findings infeasible;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobAccepted, resent, infeasible)

struct JobRefused
{
    static constexpr std::string_view kind = "job-refused";
    Findings findings;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobRefused, findings)

struct JobsCancelled
{
    static constexpr std::string_view kind = "jobs-cancelled";
    std::vector<std::string> cancelled; ///< By this command or earlier.
    std::vector<std::string> ended;     ///< Completed or failed earlier.
    std::vector<std::string> unknown;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobsCancelled, cancelled, ended, unknown)

struct AttemptStarted
{
    static constexpr std::string_view kind = "attempt-started";
    Attempt attempt = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AttemptStarted, attempt)

/// The claim in force for the key.
struct ClaimGranted
{
    static constexpr std::string_view kind = "claim-granted";
    Claim claim;
    bool fresh = false; ///< Made or moved by this command, not an earlier one.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimGranted, claim, fresh)

using Outcome = std::variant<Applied, Rejected, PatchAccepted, PatchConflict, PatchRefused,
                             JobAccepted, JobRefused, JobsCancelled, AttemptStarted, ClaimGranted>;

} // namespace guavashift
