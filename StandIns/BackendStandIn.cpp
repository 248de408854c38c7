#include <StandIns/BackendStandIn.h>

#include <charconv>
#include <thread>

namespace guavashift {

std::int64_t queryNumber(const HttpRequest &request, std::string_view name, std::int64_t fallback)
{
    const std::string query = "&" + request.query;
    const std::string wanted = "&" + std::string(name) + "=";
    const std::size_t position = query.find(wanted);
    if (position == std::string::npos)
        return fallback;
    std::int64_t value = fallback;
    const char *first = query.data() + position + wanted.size();
    std::from_chars(first, query.data() + query.size(), value);
    return value;
}

BackendStandIn::BackendStandIn(RecordFile &record, Duration extraDelay)
    : m_record(record)
    , m_extraDelay(extraDelay)
{
}

HttpResponse BackendStandIn::handle(const HttpRequest &request)
{
    const int running = ++m_running;
    const std::string token(request.headers.find("X-Token").value_or(""));
    const std::string_view order = request.headers.find("X-Order").value_or("");
    if (!order.empty())
        m_record.write(fmt::format("run {} {} {}", order,
                                   request.headers.find("Guavashift-Request-Id").value_or("-"),
                                   running));
    const Duration work = std::chrono::microseconds(queryNumber(request, "work_us", 0))
        + std::chrono::milliseconds(queryNumber(request, "work_ms", 0)) + m_extraDelay;
    if (work > Duration::zero())
        std::this_thread::sleep_for(work);
    // The token is at both ends, so that callers detect mixed-up and truncated answers.
    std::string body = "token=" + token + "\n";
    body.append(static_cast<std::size_t>(queryNumber(request, "bytes", 0)), 'x');
    body += "\nend=" + token + "\n";
    --m_running;
    return HttpResponse::text(static_cast<int>(queryNumber(request, "fail", 200)), std::move(body));
}

} // namespace guavashift
