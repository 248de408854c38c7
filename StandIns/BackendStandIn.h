#pragma once

#include <Guavashift/Http/Http.h>
#include <StandIns/RecordFile.h>

#include <atomic>

namespace guavashift {

/// A backend server that answers any path. The query sets the answer: work_ms and work_us
/// (time to take, added up), bytes (size of the filling between the tokens), fail (status). The
/// token of the header X-Token is returned in the body. Each run of an order, named by the header
/// X-Order, is recorded. Thread-safe.
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
