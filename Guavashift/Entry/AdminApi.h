#pragma once

#include <Guavashift/Control/Control.h>
#include <Guavashift/Http/Http.h>

namespace guavashift {

/// Administration API under /admin/v1. Forwards operators' requests to the control leader.
class AdminApi final
{
public:
    AdminApi(ControlClient &control, const TokenGuard &guard);

    /// Registers all endpoints.
    void addTo(HttpRouter &router);

private:
    HttpResponse query(const std::string &queryName, const std::string &argument);
    HttpResponse submitPatch(const HttpRequest &request);
    HttpResponse checkPatch(const HttpRequest &request);
    HttpResponse submitJob(const HttpRequest &request);
    HttpResponse cancelJobs(const HttpRequest &request);
    HttpResponse drainWorker(const HttpRequest &request);
    HttpResponse changeMember(const HttpRequest &request, bool remove);
    HttpResponse execute(const CommandBody &command);

    ControlClient &m_control;
    TokenGuard m_guard;
};

/// Builds the HTTP response for an error; its code determines the status.
HttpResponse errorResponse(const Error &error);

} // namespace guavashift
