#pragma once

#include <Guavashift/Http/Http.h>
#include <StandIns/RecordFile.h>

#include <atomic>

namespace guavashift {

/// A backend server that answers any path. The query tells what to do: work_ms (time to take),
/// bytes (size of the answer), fail (status to answer with). Headers X-Token and X-Order come back
/// in the answer; each run of an order is recorded.
class BackendStandIn final
{
public:
    BackendStandIn(RecordFile &record, Duration extraDelay);

    HttpResponse handle(const HttpRequest &request);

private:
    RecordFile &m_record;
    Duration m_extraDelay;
    std::atomic<int> m_running = 0;
};

/// The number after `name=` in an encoded query, or `fallback`.
std::int64_t queryNumber(const HttpRequest &request, std::string_view name, std::int64_t fallback);

} // namespace guavashift
