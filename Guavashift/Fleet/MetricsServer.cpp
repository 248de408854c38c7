#include <Guavashift/Fleet/MetricsServer.h>

namespace guavashift {

MetricsServer::MetricsServer(const HttpServerSettings &settings, FleetMetrics &metrics)
    : m_server(settings, [&metrics](const HttpRequest &request, const HttpResponder &respond) {
        if (request.path == "/metrics")
            respond(HttpResponse::text(200, metrics.exposition()));
        else
            respond(HttpResponse::text(404, "the metrics are at /metrics\n"));
    })
{
}

Result<void> MetricsServer::start()
{
    return m_server.start();
}

void MetricsServer::stop()
{
    // Open requests are not waited for: the process must end in time, and metrics are read again.
    m_server.stop(Duration::zero());
}

} // namespace guavashift
