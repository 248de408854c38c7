#pragma once

#include <Guavashift/Core/Core.h>

#include <variant>

namespace guavashift {

/// Properties of a request that decide how it may be retried.
struct RequestTraits
{
    bool idempotent = true; ///< Running it twice is safe.
    bool exclusive = false; ///< Must never run in two places at once.
    bool keyed = false;     ///< Has a committed claim, so the agent keeps its answer.
};

/// The backend server's own answer arrived.
struct Answered
{
};

/// The request certainly did not run: there was no connection, or the agent reports it.
struct CertainlyNotRun
{
    /// The agent only reported its current window; it accepts the request with that window.
    bool sameAgent = false;
};

/// Contact with the agent was lost after the request had been sent.
struct ContactLost
{
};

/// The agent reported that the run ended without a complete answer, or that it does not know.
struct RunUnknown
{
};

/// Answers of the agent to `revoke`.
struct RevokedAtAgent
{
};
struct StillRunning
{
};
struct RanToCompletion
{
};
struct RevokeUnanswered
{
};

using DispatchEvent = std::variant<Answered, CertainlyNotRun, ContactLost, RunUnknown,
                                   RevokedAtAgent, StillRunning, RanToCompletion, RevokeUnanswered>;

enum class RequestAction {
    ForwardAnswer,  ///< Forward the answer to the caller.
    RetryElsewhere, ///< Send it to another agent with a new request id.
    RetrySameAgent, ///< Send it to the same agent again.
    Revoke,         ///< Ask the agent to revoke the request id.
    Rejoin,         ///< Send the same id to the same agent, to join the run or get its answer.
    AnswerNotRun,   ///< Refuse; it did not run.
    AnswerRan,      ///< Refuse; it ran, but its answer is lost.
    AnswerUnknown,  ///< Refuse; whether it ran is not known.
};

/// Limits that decide whether an entry may dispatch a request again.
struct RetryAllowance
{
    bool timeLeft = true;     ///< Enough for another dispatch.
    bool attemptsLeft = true; ///< Below the limit of dispatches for one request.
    bool budgetLeft = true;   ///< The retry budget allows one more.
};

/// Decides the next action after an event. A request that may have run is sent to another agent
/// only if it is idempotent and not exclusive; "not run" is reported only when it is certain.
RequestAction decideNext(const RequestTraits &traits, const DispatchEvent &event,
                         const RetryAllowance &allowance);

} // namespace guavashift
