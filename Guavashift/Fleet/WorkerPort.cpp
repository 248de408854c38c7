#include <Guavashift/Fleet/WorkerPort.h>

#include <array>

namespace guavashift {

std::string_view nameOf(WorkerCallResult result)
{
    constexpr std::array<std::string_view, 12> names{
        "done",           "fenced-off",         "too-old",   "too-late",
        "no-room",        "no-approval",        "unhealthy", "wrong",
        "other-lifetime", "connection-refused", "not-sent",  "no-answer"};
    return names.at(static_cast<std::size_t>(result));
}

bool isAnswered(WorkerCallResult result)
{
    return result == WorkerCallResult::Done || result == WorkerCallResult::FencedOff;
}

} // namespace guavashift
