#pragma once

// Public header of the Telemetry library: metrics and trace spans.

#include <Guavashift/Metrics/Metrics.h>
#include <Guavashift/Telemetry/Span.h>
#include <Guavashift/Telemetry/TraceContext.h>

namespace guavashift {

/// Metrics and tracer of one process.
class Telemetry final
{
public:
    explicit Telemetry(std::string process)
        : m_tracer(std::move(process))
    {
    }

    [[nodiscard]] Metrics &metrics() { return m_metrics; }
    [[nodiscard]] const Tracer &tracer() const { return m_tracer; }

private:
    Metrics m_metrics;
    Tracer m_tracer;
};

} // namespace guavashift
