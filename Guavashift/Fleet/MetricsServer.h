#pragma once

#include <Guavashift/Fleet/FleetMetrics.h>
#include <Guavashift/Http/AsyncHttpServer.h>

namespace guavashift {

/// Serves the metrics as text at /metrics, on a thread of its own.
class MetricsServer final
{
public:
    MetricsServer(const HttpServerSettings &settings, FleetMetrics &metrics);

    Result<void> start();
    void stop();

private:
    AsyncHttpServer m_server;
};

} // namespace guavashift
