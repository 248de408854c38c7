#pragma once

namespace guavashift {

/// Logs the violated invariant, flushes the log and aborts the process.
[[noreturn]] void invariantBroken(const char *condition, const char *file, int line);

} // namespace guavashift

/// Asserts an invariant in every build type: a scheduler that continues in an invalid state would
/// do more damage than one that stops.
#define GUAVASHIFT_CHECK(condition)                                                                \
    do {                                                                                           \
        if (!(condition))                                                                          \
            ::guavashift::invariantBroken(#condition, __FILE__, __LINE__);                         \
    } while (false)
