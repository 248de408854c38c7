#pragma once

namespace guavashift {

/// Ends the process with a log line. Called when an invariant of the program itself is broken.
[[noreturn]] void invariantBroken(const char *condition, const char *file, int line);

} // namespace guavashift

/// Asserts an invariant in every build type: a scheduler that continues in an impossible state
/// would do more harm than one that stops.
#define GUAVASHIFT_CHECK(condition)                                                                \
    do {                                                                                           \
        if (!(condition))                                                                          \
            ::guavashift::invariantBroken(#condition, __FILE__, __LINE__);                         \
    } while (false)
