#include <Guavashift/Routing/RequestPolicy.h>

namespace guavashift {

RequestAction decideNext(const RequestTraits &traits, const DispatchEvent &event,
                         const RequestAllowance &allowance)
{
    const bool another = allowance.timeLeft && allowance.triesLeft;
    const bool mayRunTwice = traits.idempotent && !traits.exclusive;
    return std::visit(
        Overloaded{
            [](const Answered &) { return RequestAction::PassOn; },
            [&](const CertainlyNotRun &refusal) {
                if (!another)
                    return RequestAction::AnswerNotRun;
                return refusal.sameAgent ? RequestAction::RetrySameAgent
                                         : RequestAction::RetryElsewhere;
            },
            [&](const ContactLost &) {
                if (mayRunTwice && another && allowance.budgetLeft)
                    return RequestAction::RetryElsewhere;
                return RequestAction::Revoke;
            },
            [&](const RunUnknown &) {
                if (mayRunTwice && another && allowance.budgetLeft)
                    return RequestAction::RetryElsewhere;
                return RequestAction::AnswerUnknown;
            },
            [&](const RevokedAtAgent &) {
                return another ? RequestAction::RetryElsewhere : RequestAction::AnswerNotRun;
            },
            [&](const StillRunning &) {
                return another && traits.keyed ? RequestAction::Rejoin
                                               : RequestAction::AnswerUnknown;
            },
            [&](const RanToEnd &) {
                return another && traits.keyed ? RequestAction::Rejoin : RequestAction::AnswerRan;
            },
            [](const RevokeUnanswered &) { return RequestAction::AnswerUnknown; },
        },
        event);
}

} // namespace guavashift
