#pragma once

#include <Guavashift/Core/Core.h>

#include <variant>

namespace guavashift {

/// What may be done with a request.
struct RequestTraits
{
    bool idempotent = true; ///< Running it twice does no harm.
    bool exclusive = false; ///< Must never run at two places at once.
    bool keyed = false;     ///< Has a committed claim, so an agent keeps its answer.
};

/// The backend server's own answer came.
struct Answered
{
};

/// It is certain that the request did not run: no connection, or the agent says so.
struct CertainlyNotRun
{
    /// The agent only named its current window; the same agent will take it.
    bool sameAgent = false;
};

/// Contact with the agent was lost after the request had been sent.
struct ContactLost
{
};

/// The agent answered that the run ended without a whole answer, or cannot tell.
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
    ForwardAnswer,  ///< Give the caller the answer.
    RetryElsewhere, ///< Send it to another agent with a new request id.
    RetrySameAgent, ///< Send it to the same agent again.
    Revoke,         ///< Ask the agent to revoke the request id.
    Rejoin,         ///< Send the same id to the same agent, which joins or repeats the answer.
    AnswerNotRun,   ///< Refuse; it did not run.
    AnswerRan,      ///< Refuse; it ran, but its answer is lost.
    AnswerUnknown,  ///< Refuse; whether it ran is not known.
};

/// What an entry has left to spend on a request.
struct RetryAllowance
{
    bool timeLeft = true;     ///< Enough for another dispatch.
    bool attemptsLeft = true; ///< Below the limit of dispatches for one request.
    bool budgetLeft = true;   ///< The retry budget allows one more.
};

/// Decides what follows an event. Nothing that may have run is sent to another agent unless it is
/// idempotent and not exclusive; "not run" is said only when it is certain.
RequestAction decideNext(const RequestTraits &traits, const DispatchEvent &event,
                         const RetryAllowance &allowance);

} // namespace guavashift
