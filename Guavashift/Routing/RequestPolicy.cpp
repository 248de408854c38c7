#include <Guavashift/Routing/RequestPolicy.h>

namespace guavashift {

RequestAction decideNext(const RequestTraits &traits, const DispatchEvent &event,
                         const RetryAllowance &allowance)
{
    const bool mayRetry = allowance.timeLeft && allowance.attemptsLeft;
    const bool mayRunTwice = traits.idempotent && !traits.exclusive;
    return std::visit(
        Overloaded{
            [](const Answered &) { return RequestAction::ForwardAnswer; },
            [&](const CertainlyNotRun &refusal) {
                if (!mayRetry)
                    return RequestAction::AnswerNotRun;
                return refusal.sameAgent ? RequestAction::RetrySameAgent
                                         : RequestAction::RetryElsewhere;
            },
            [&](const ContactLost &) {
                if (mayRunTwice && mayRetry && allowance.budgetLeft)
                    return RequestAction::RetryElsewhere;
                return RequestAction::Revoke;
            },
            [&](const RunUnknown &) {
                if (mayRunTwice && mayRetry && allowance.budgetLeft)
                    return RequestAction::RetryElsewhere;
                return RequestAction::AnswerUnknown;
            },
            [&](const RevokedAtAgent &) {
                return mayRetry ? RequestAction::RetryElsewhere : RequestAction::AnswerNotRun;
            },
            [&](const StillRunning &) {
                return mayRetry && traits.keyed ? RequestAction::Rejoin
                                                : RequestAction::AnswerUnknown;
            },
            [&](const RanToCompletion &) {
                return mayRetry && traits.keyed ? RequestAction::Rejoin : RequestAction::AnswerRan;
            },
            [](const RevokeUnanswered &) { return RequestAction::AnswerUnknown; },
        },
        event);
}

} // namespace guavashift
