#include <Guavashift/Core/Core.h>
#include <Guavashift/Telemetry/Span.h>

#include <opentracing/mocktracer/recorder.h>
#include <opentracing/mocktracer/tracer.h>

namespace guavashift {

namespace {

std::string textOf(const opentracing::Value &value)
{
    return value.is<std::string>() ? value.get<std::string>() : std::string();
}

/// Writes each finished span to standard error as one line.
class LogRecorder final : public opentracing::mocktracer::Recorder
{
public:
    void RecordSpan(opentracing::mocktracer::SpanData &&span) noexcept override
    {
        std::string tags;
        for (const auto &[key, value] : span.tags)
            tags += (tags.empty() ? "" : " ") + key + "=" + textOf(value);
        const auto start = std::chrono::duration_cast<std::chrono::microseconds>(
            span.start_timestamp.time_since_epoch());
        const auto length = std::chrono::duration_cast<std::chrono::microseconds>(span.duration);
        // The tags are key=value pairs themselves and follow the fixed fields.
        std::string line =
            fmt::format("time={} level=info event=span name={} start_us={} "
                        "duration_us={} {}\n",
                        wallNow(), span.operation_name, start.count(), length.count(), tags);
        std::fwrite(line.data(), 1, line.size(), stderr);
    }
};

std::mt19937_64 &threadRandom()
{
    thread_local std::mt19937_64 random{std::random_device{}()};
    return random;
}

} // namespace

Tracer::Tracer(std::string process)
    : m_process(std::move(process))
{
    opentracing::mocktracer::MockTracerOptions options;
    options.recorder = std::make_unique<LogRecorder>();
    m_tracer = std::make_shared<opentracing::mocktracer::MockTracer>(std::move(options));
}

Span Tracer::startSpan(const char *name, std::optional<std::string_view> traceparent,
                       double sampleProbability) const
{
    std::mt19937_64 &random = threadRandom();
    const std::optional<TraceContext> parent =
        traceparent ? TraceContext::parse(*traceparent) : std::nullopt;
    const bool sampled = std::uniform_real_distribution<>()(random) < sampleProbability;
    const TraceContext context =
        parent ? parent->child(random) : TraceContext::start(random, sampled);
    if (!context.sampled)
        return {nullptr, context};
    std::unique_ptr<opentracing::Span> span = m_tracer->StartSpan(name);
    span->SetTag("process", m_process);
    span->SetTag("trace_id", context.traceId);
    span->SetTag("span_id", context.spanId);
    if (parent)
        span->SetTag("parent_id", parent->spanId);
    return {std::move(span), context};
}

} // namespace guavashift
