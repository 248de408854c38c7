#include <Guavashift/Entry/AdminApi.h>

#include <Guavashift/Configuration/FieldReader.h>

namespace guavashift {

namespace {

const std::string apiRoot = "/admin/v1";
constexpr Duration answerTimeout = std::chrono::seconds(5);

constexpr std::int64_t maxTasksPerJob = 10'000;
constexpr std::size_t maxTextBytes = 256;

int statusOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return 400;
    case ErrorCode::Unauthorized:
        return 401;
    case ErrorCode::NotFound:
        return 404;
    case ErrorCode::Conflict:
        return 409;
    case ErrorCode::NotLeader:
    case ErrorCode::Unavailable:
        return 503;
    case ErrorCode::Timeout:
        return 504;
    case ErrorCode::Io:
        break;
    }
    return 500;
}

HttpResponse outcomeResponse(const Outcome &outcome)
{
    const int status = std::visit(
        Overloaded{[](const PatchConflict &) { return 409; },
                   [](const PatchRefused &) { return 422; }, [](const JobRefused &) { return 422; },
                   [](const Rejected &) { return 409; }, [](const auto &) { return 200; }},
        outcome);
    return HttpResponse::json(status, variantToJson(outcome));
}

HttpResponse findingsResponse(const Findings &findings)
{
    return HttpResponse::json(400, {{"error", "the request is malformed"}, {"findings", findings}});
}

/// Parses the body as a JSON object. The error is the 400 response to send.
tl::expected<Json, HttpResponse> readObject(const HttpRequest &request)
{
    Json json = Json::parse(request.body, nullptr, false);
    if (json.is_discarded())
        return tl::unexpected(findingsResponse({{"", "the body is not JSON"}}));
    if (!json.is_object())
        return tl::unexpected(findingsResponse({{"", "must be an object"}}));
    return json;
}

std::string queryParameter(const HttpRequest &request, std::string_view name)
{
    const std::string prefix = std::string(name) + "=";
    const std::string text = "&" + request.query;
    const std::size_t at = text.find("&" + prefix);
    if (at == std::string::npos)
        return {};
    const std::size_t start = at + 1 + prefix.size();
    return text.substr(start, text.find('&', start) - start);
}

} // namespace

HttpResponse errorResponse(const Error &error)
{
    return HttpResponse::json(statusOf(error.code), {{"error", error.message}});
}

AdminApi::AdminApi(ControlClient &control, const TokenGuard &guard)
    : m_control(control)
    , m_guard(guard)
{
}

void AdminApi::addTo(HttpRouter &router)
{
    const auto get = [&](const std::string &path, const std::string &queryName) {
        router.add("GET", apiRoot + path, m_guard.protect([this, queryName](const HttpRequest &) {
            return query(queryName, {});
        }));
    };
    const auto post = [&](const std::string &path,
                          HttpResponse (AdminApi::*handler)(const HttpRequest &)) {
        router.add("POST", apiRoot + path,
                   m_guard.protect([this, handler](const HttpRequest &request) {
                       return (this->*handler)(request);
                   }));
    };
    get("/status", "status");
    get("/config", "config");
    get("/config/history", "history");
    get("/workers", "workers");
    get("/members", "members");
    router.add("GET", apiRoot + "/jobs", m_guard.protect([this](const HttpRequest &request) {
        return query("jobs", queryParameter(request, "team"));
    }));
    router.add("GET", apiRoot + "/jobs/", m_guard.protect([this](const HttpRequest &request) {
        return query("job", request.path.substr((apiRoot + "/jobs/").size()));
    }));
    post("/config/patch", &AdminApi::submitPatch);
    post("/config/check", &AdminApi::checkPatch);
    post("/jobs", &AdminApi::submitJob);
    post("/jobs/cancel", &AdminApi::cancelJobs);
    post("/workers/drain", &AdminApi::drainWorker);
    router.add("POST", apiRoot + "/members/remove",
               m_guard.protect(
                   [this](const HttpRequest &request) { return changeMember(request, true); }));
    router.add("POST", apiRoot + "/members/add",
               m_guard.protect(
                   [this](const HttpRequest &request) { return changeMember(request, false); }));
}

HttpResponse AdminApi::query(const std::string &queryName, const std::string &argument)
{
    const Result<Json> answer =
        m_control.call(method::query, Query{queryName, argument, true}, answerTimeout);
    return answer ? HttpResponse::json(200, *answer) : errorResponse(answer.error());
}

HttpResponse AdminApi::execute(const CommandBody &command)
{
    const Result<Outcome> outcome = m_control.execute(command, answerTimeout);
    return outcome ? outcomeResponse(*outcome) : errorResponse(outcome.error());
}

HttpResponse AdminApi::submitPatch(const HttpRequest &request)
{
    const auto json = readObject(request);
    if (!json)
        return json.error();
    Findings findings;
    ConfigPatch patch;
    FieldReader fields(*json, "", findings);
    fields.required("operator");
    fields.required("patchId");
    fields.required("baseVersion");
    fields.required("patch");
    fields.text("operator", patch.operatorName, maxTextBytes);
    fields.text("patchId", patch.patchId, maxTextBytes);
    fields.number("baseVersion", patch.baseVersion, 0, INT64_MAX);
    if (const Json *document = fields.object("patch"))
        patch.patch = *document;
    fields.reportUnknownMembers();
    if (!findings.empty())
        return findingsResponse(findings);
    return execute(SubmitPatch{std::move(patch)});
}

HttpResponse AdminApi::checkPatch(const HttpRequest &request)
{
    const auto json = readObject(request);
    if (!json)
        return json.error();
    return query("check", json->dump());
}

HttpResponse AdminApi::submitJob(const HttpRequest &request)
{
    const auto json = readObject(request);
    if (!json)
        return json.error();
    Findings findings;
    JobSpec spec;
    FieldReader fields(*json, "", findings);
    fields.required("team");
    fields.required("id");
    fields.required("size");
    fields.text("team", spec.team.value, maxTextBytes);
    fields.text("id", spec.id, maxTextBytes);
    fields.text("family", spec.family, maxTextBytes);
    fields.number("tasks", spec.tasks, 1, maxTasksPerJob);
    fields.resources("size", spec.size);
    fields.boolean("urgent", spec.urgent);
    fields.number("releaseAt", spec.releaseAt, 0, INT64_MAX);
    fields.number("dueAt", spec.dueAt, 0, INT64_MAX);
    fields.number("runtimeMs", spec.runtimeMs, 0, INT64_MAX);
    fields.reportUnknownMembers();
    if (!findings.empty())
        return findingsResponse(findings);
    return execute(SubmitJob{std::move(spec)});
}

HttpResponse AdminApi::cancelJobs(const HttpRequest &request)
{
    const auto json = readObject(request);
    if (!json)
        return json.error();
    Findings findings;
    CancelJobs cancel;
    FieldReader fields(*json, "", findings);
    fields.required("team");
    fields.required("jobs");
    fields.text("team", cancel.team.value, maxTextBytes);
    if (const Json *jobs = fields.array("jobs")) {
        for (std::size_t i = 0; i < jobs->size(); ++i) {
            if ((*jobs)[i].is_string())
                cancel.jobs.push_back((*jobs)[i].get<std::string>());
            else
                findings.push_back({"/jobs/" + std::to_string(i), "must be a string"});
        }
    }
    fields.reportUnknownMembers();
    if (!findings.empty())
        return findingsResponse(findings);
    return execute(cancel);
}

HttpResponse AdminApi::drainWorker(const HttpRequest &request)
{
    const auto json = readObject(request);
    if (!json)
        return json.error();
    Findings findings;
    DrainWorker drain;
    FieldReader fields(*json, "", findings);
    fields.required("worker");
    fields.text("worker", drain.worker.value, maxTextBytes);
    fields.boolean("draining", drain.draining);
    fields.reportUnknownMembers();
    if (!findings.empty())
        return findingsResponse(findings);
    return execute(drain);
}

HttpResponse AdminApi::changeMember(const HttpRequest &request, bool remove)
{
    const auto json = readObject(request);
    if (!json)
        return json.error();
    Findings findings;
    MemberChange change;
    change.remove = remove;
    FieldReader fields(*json, "", findings);
    fields.required("vm");
    fields.text("vm", change.vm, maxTextBytes);
    fields.reportUnknownMembers();
    if (!findings.empty())
        return findingsResponse(findings);
    const Result<Json> answer = m_control.call(method::changeMember, change, answerTimeout);
    return answer ? HttpResponse::json(200, *answer) : errorResponse(answer.error());
}

} // namespace guavashift
