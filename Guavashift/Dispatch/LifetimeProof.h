#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace guavashift {

/// What shows that nothing runs in a lifetime of a worker any more. Nothing else does: no report,
/// no refused connection and no silence.
enum class LifetimeProof : std::uint8_t {
    AnsweredByAnother, ///< A worker of another name has answered at its address.
    AnsweredByNext,    ///< Another lifetime of its name has answered at its address.
    LeaseRanOut        ///< The last lease that it may hold is over.
};
/// Name in logs; "other" for a value that a later version has sent.
std::string_view nameOf(LifetimeProof proof);
/// The same, "none" without one.
std::string_view nameOf(const std::optional<LifetimeProof> &proof);

} // namespace guavashift
