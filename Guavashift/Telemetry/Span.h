#pragma once

#include <Guavashift/Telemetry/TraceContext.h>

#include <memory>
#include <opentracing/tracer.h>

namespace guavashift {

/// Span of one hop of a request. Finished by its destructor; recorded only if its trace is sampled.
class Span final
{
public:
    Span(std::unique_ptr<opentracing::Span> span, TraceContext context)
        : m_span(std::move(span))
        , m_context(std::move(context))
    {
    }

    /// Sets a tag; does nothing if the trace is not sampled.
    void tag(const char *key, const std::string &value)
    {
        if (m_span)
            m_span->SetTag(key, value);
    }

    /// Context to send to the next hop.
    [[nodiscard]] const TraceContext &context() const { return m_context; }

private:
    std::unique_ptr<opentracing::Span> m_span;
    TraceContext m_context;
};

/// Creates spans through the OpenTracing API. Finished spans are written to standard error as lines
/// "event=span" with the W3C ids, name, start and duration in microseconds.
class Tracer final
{
public:
    explicit Tracer(std::string process);

    /// Continues the trace of a `traceparent` header, or starts one that is sampled with the given
    /// probability.
    [[nodiscard]] Span startSpan(const char *name, std::optional<std::string_view> traceparent,
                                 double sampleProbability = 0) const;

private:
    std::string m_process;
    std::shared_ptr<opentracing::Tracer> m_tracer;
};

} // namespace guavashift
