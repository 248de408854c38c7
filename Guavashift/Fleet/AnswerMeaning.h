#pragma once

#include <Guavashift/Fleet/WorkerPort.h>

namespace guavashift {

/// The lifetime that the call named has answered.
struct AnsweredAsNamed
{
};

/// A worker of that name has answered, without telling which lifetime it is.
struct AnsweredByName
{
};

/// Another lifetime has answered at the worker's address, so that of the call has ended, unless it
/// has not begun there.
struct AnsweredByOther
{
    LifetimeProof proof = LifetimeProof::AnsweredByAnother;
};

/// No answer, or one that does not tell who gave it.
struct NothingShown
{
};

/// What the outcome of a call shows about the lifetime that the call named. The only place that
/// concludes something from who answers: a refused connection, silence and reports show nothing.
using AnswerMeaning = std::variant<NothingShown, AnsweredAsNamed, AnsweredByName, AnsweredByOther>;

[[nodiscard]] AnswerMeaning meaningOf(const WorkerReply &reply, const Lifetime &named);
/// The proof that the named lifetime has ended, if the outcome is one.
[[nodiscard]] std::optional<LifetimeProof> proofOfEnd(const WorkerReply &reply,
                                                      const Lifetime &named);

} // namespace guavashift
