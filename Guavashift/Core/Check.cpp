#include <Guavashift/Core/Check.h>
#include <Guavashift/Core/Log.h>

#include <cstdlib>

namespace guavashift {

void invariantBroken(const char *condition, const char *file, int line)
{
    logEvent(LogLevel::Error, "invariant-broken",
             {{"condition", condition}, {"file", file}, {"line", line}});
    flushLog();
    std::abort();
}

} // namespace guavashift
