#include <Guavashift/Fleet/AnswerMeaning.h>

namespace guavashift {

AnswerMeaning meaningOf(const WorkerReply &reply, const Lifetime &named)
{
    switch (reply.result) {
    case WorkerCallResult::OtherLifetime:
        return AnsweredByOther{LifetimeProof::AnsweredByAnother};
    case WorkerCallResult::ConnectionRefused:
    case WorkerCallResult::NotSent:
    case WorkerCallResult::NoAnswer:
        return NothingShown{};
    default:
        break;
    }
    if (reply.born == 0)
        return AnsweredByName{};
    if (reply.born != named.startedAt)
        return AnsweredByOther{LifetimeProof::AnsweredByNext};
    return AnsweredAsNamed{};
}

std::optional<LifetimeProof> proofOfEnd(const WorkerReply &reply, const Lifetime &named)
{
    const AnswerMeaning meaning = meaningOf(reply, named);
    const auto *other = std::get_if<AnsweredByOther>(&meaning);
    return other == nullptr ? std::nullopt : std::optional(other->proof);
}

} // namespace guavashift
