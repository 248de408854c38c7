#pragma once

#include <cstdint>
#include <string_view>

namespace guavashift {

/// Why a lifetime of a worker counts as ended.
enum class LifetimeProof : std::uint8_t {
    AnsweredByAnother, ///< A worker of another name has answered at its address.
    AnsweredByNext,    ///< Another lifetime of its name has answered at its address.
    LeaseRanOut,       ///< The last lease that it may hold is over.
    Report             ///< A report has named another lifetime.
};
/// Name in logs; "other" for a value that a later version has sent.
std::string_view nameOf(LifetimeProof proof);

} // namespace guavashift
