#include <Guavashift/Agent/RequestGate.h>

#include <algorithm>

namespace guavashift {

RequestGate::RequestGate(const RequestGateSettings &settings, Incarnation incarnation, Instant now)
    : m_settings(settings)
    , m_incarnation(std::move(incarnation))
    , m_start(now)
{
}

void RequestGate::advance(Instant now)
{
    const auto window = static_cast<std::uint64_t>((now - m_start) / m_settings.windowLength) + 1;
    if (window <= m_window)
        return;
    m_window = window;
    if (m_window > m_settings.unkeyedWindows)
        m_forgottenUnkeyed = std::max(m_forgottenUnkeyed, m_window - m_settings.unkeyedWindows);
    if (m_window > m_settings.keyedWindows)
        m_forgottenKeyed = std::max(m_forgottenKeyed, m_window - m_settings.keyedWindows);
    forgetOldRequests();
}

std::uint64_t RequestGate::oldestWindow(bool keyed) const
{
    return (keyed ? m_forgottenKeyed : m_forgottenUnkeyed) + 1;
}

void RequestGate::updateBackends(std::span<const BackendServer> backends)
{
    for (auto &[id, backend] : m_backends)
        backend.announced = false;
    for (const BackendServer &server : backends) {
        Backend &backend = m_backends[server.task];
        backend.server = server;
        backend.announced = true;
    }
    // A server that is no longer announced is removed when its last request has ended.
    std::erase_if(m_backends, [](const auto &item) {
        return !item.second.announced && item.second.running == 0;
    });
}

RequestGate::Backend *RequestGate::freeBackend(const ServiceId &service)
{
    Backend *best = nullptr;
    for (auto &[id, backend] : m_backends) {
        const bool usable = backend.announced && !backend.server.leaving
            && backend.server.service == service && backend.running < backend.server.slots;
        if (usable && (best == nullptr || backend.running < best->running))
            best = &backend;
    }
    return best;
}

std::optional<RefusalReason>
RequestGate::refusalForNewRequest(const DispatchedRequest &dispatch) const
{
    if (m_leaving)
        return RefusalReason::Leaving;
    if (!m_leaseHeld)
        return RefusalReason::LeaseExpired;
    bool known = false;
    for (const auto &[id, backend] : m_backends) {
        if (!backend.announced || backend.server.service != dispatch.service)
            continue;
        known = true;
        if (!backend.server.leaving)
            return std::nullopt;
    }
    return known ? RefusalReason::Leaving : RefusalReason::NoBackend;
}

RequestDecision RequestGate::decideKnown(const RequestRecord &known) const
{
    switch (known.phase) {
    case Phase::Waiting:
    case Phase::Running:
        return JoinRunning{};
    case Phase::NotRun:
        return RefuseRequest{RefusalReason::Revoked, true};
    case Phase::Done:
        break;
    }
    if (known.answer)
        return RepeatAnswer{known.answer};
    return RefuseRequest{RefusalReason::AlreadyRan, false};
}

RequestDecision RequestGate::arrive(const DispatchedRequest &dispatch)
{
    // A request for an earlier incarnation may have run there.
    if (m_settings.checkIncarnation && dispatch.incarnation != m_incarnation)
        return RefuseRequest{RefusalReason::WrongIncarnation, false};
    if (m_settings.rememberRequests) {
        const auto known = m_requests.find(dispatch.id);
        if (known != m_requests.end())
            return decideKnown(known->second);
    }
    // An unknown id from a forgotten window may have run or been revoked. A request without a
    // window never runs, so if it also has no key, it certainly has not run.
    if (m_settings.checkWindow && dispatch.window < oldestWindow(dispatch.keyed)) {
        if (dispatch.window == 0)
            return RefuseRequest{RefusalReason::StaleWindow, !dispatch.keyed};
        return RefuseRequest{RefusalReason::Forgotten, false};
    }
    RequestRecord &request = m_requests[dispatch.id];
    request.keyed = dispatch.keyed;
    request.service = dispatch.service;
    touch(dispatch.id, request);

    std::optional<RefusalReason> refusal = refusalForNewRequest(dispatch);
    Backend *backend = refusal ? nullptr : freeBackend(dispatch.service);
    if (!refusal && backend == nullptr && m_waiting.size() >= m_settings.maxWaiting)
        refusal = RefusalReason::Full;
    if (refusal) {
        // Remembered, so that a delayed copy does not run after this refusal.
        request.phase = Phase::NotRun;
        return RefuseRequest{*refusal, true};
    }
    if (backend == nullptr) {
        request.phase = Phase::Waiting;
        m_waiting.push_back(dispatch.id);
        return WaitForSlot{};
    }
    run(request, *backend);
    return RunRequest{request.backend};
}

void RequestGate::touch(const RequestId &id, RequestRecord &request)
{
    if (request.window == m_window)
        return;
    request.window = m_window;
    m_requestsByWindow[m_window].push_back(id);
}

void RequestGate::run(RequestRecord &request, Backend &backend)
{
    request.phase = Phase::Running;
    request.backend = backend.server.task;
    ++backend.running;
    ++m_running;
    GUAVASHIFT_CHECK(backend.running <= backend.server.slots);
}

std::vector<SlotGranted> RequestGate::finish(const RequestId &id, const RunEnd &end)
{
    const auto found = m_requests.find(id);
    GUAVASHIFT_CHECK(found != m_requests.end() && found->second.phase == Phase::Running);
    RequestRecord &request = found->second;
    const auto backend = m_backends.find(request.backend);
    if (backend != m_backends.end()) {
        --backend->second.running;
        if (!backend->second.announced && backend->second.running == 0)
            m_backends.erase(backend);
    }
    --m_running;
    request.phase = end.notRun ? Phase::NotRun : Phase::Done;
    // A request is remembered from its end on.
    touch(id, request);
    if (request.keyed && end.answer)
        keepAnswer(id, request, end.answer);
    return grantSlots();
}

std::vector<SlotGranted> RequestGate::grantSlots()
{
    std::vector<SlotGranted> granted;
    for (auto at = m_waiting.begin(); at != m_waiting.end();) {
        RequestRecord &request = m_requests.at(*at);
        Backend *backend = freeBackend(request.service);
        if (backend == nullptr) {
            ++at;
            continue;
        }
        run(request, *backend);
        granted.push_back({*at, request.backend});
        at = m_waiting.erase(at);
    }
    return granted;
}

std::optional<TaskId> RequestGate::grantedBackend(const RequestId &id) const
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || found->second.phase != Phase::Running)
        return std::nullopt;
    return found->second.backend;
}

bool RequestGate::withdraw(const RequestId &id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || found->second.phase != Phase::Waiting)
        return false;
    found->second.phase = Phase::NotRun;
    touch(id, found->second);
    std::erase(m_waiting, id);
    return true;
}

RevokeOutcome RequestGate::revoke(const RevokeRequest &revocation)
{
    if (revocation.incarnation != m_incarnation)
        return RevokeOutcome::Unknown;
    const auto found = m_requests.find(revocation.request);
    if (found == m_requests.end()) {
        if (revocation.window < oldestWindow(revocation.keyed))
            return RevokeOutcome::Unknown;
        RequestRecord &request = m_requests[revocation.request];
        request.phase = Phase::NotRun;
        request.keyed = revocation.keyed;
        touch(revocation.request, request);
        return RevokeOutcome::Revoked;
    }
    switch (found->second.phase) {
    case Phase::Waiting:
        withdraw(revocation.request);
        return RevokeOutcome::Revoked;
    case Phase::NotRun:
        return RevokeOutcome::Revoked;
    case Phase::Running:
        return RevokeOutcome::Running;
    case Phase::Done:
        break;
    }
    return RevokeOutcome::Done;
}

std::shared_ptr<const HttpResponse> RequestGate::answerOf(const RequestId &id) const
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : found->second.answer;
}

bool RequestGate::isRunningOrWaiting(const RequestId &id) const
{
    const auto found = m_requests.find(id);
    return found != m_requests.end()
        && (found->second.phase == Phase::Running || found->second.phase == Phase::Waiting);
}

void RequestGate::keepAnswer(const RequestId &id, RequestRecord &request,
                             std::shared_ptr<const HttpResponse> answer)
{
    m_answerBytes += answer->body.size();
    m_answers.push_back(id);
    request.answer = std::move(answer);
    // Drops the oldest answers first. Their requests are still remembered as run.
    while (m_answerBytes > m_settings.maxAnswerBytes && !m_answers.empty()) {
        const auto oldest = m_requests.find(m_answers.front());
        m_answers.pop_front();
        if (oldest == m_requests.end() || !oldest->second.answer)
            continue;
        m_answerBytes -= oldest->second.answer->body.size();
        oldest->second.answer.reset();
    }
}

std::vector<std::pair<RequestId, std::shared_ptr<const HttpResponse>>>
RequestGate::newestAnswers(std::size_t maxBytes) const
{
    std::vector<std::pair<RequestId, std::shared_ptr<const HttpResponse>>> answers;
    std::size_t bytes = 0;
    for (auto id = m_answers.rbegin(); id != m_answers.rend(); ++id) {
        std::shared_ptr<const HttpResponse> answer = answerOf(*id);
        if (!answer)
            continue;
        bytes += answer->body.size();
        if (bytes > maxBytes)
            break;
        answers.emplace_back(*id, std::move(answer));
    }
    return answers;
}

std::vector<RequestId> RequestGate::acceptedKeyedRequests() const
{
    std::vector<RequestId> accepted;
    for (const auto &[id, request] : m_requests) {
        if (request.keyed && request.phase != Phase::NotRun)
            accepted.push_back(id);
    }
    return accepted;
}

void RequestGate::forgetOldRequests()
{
    // Above the limit of ids, the oldest windows are forgotten early. The two newest are kept.
    std::size_t count = m_requests.size();
    for (const auto &[window, ids] : m_requestsByWindow) {
        if (count <= m_settings.maxRemembered || window >= m_window - 1)
            break;
        count -= std::min(count, ids.size());
        m_forgottenKeyed = std::max(m_forgottenKeyed, window);
        m_forgottenUnkeyed = std::max(m_forgottenUnkeyed, window);
    }
    for (auto at = m_requestsByWindow.begin();
         at != m_requestsByWindow.end() && at->first <= m_forgottenUnkeyed;) {
        std::vector<RequestId> kept;
        for (RequestId &id : at->second) {
            const auto found = m_requests.find(id);
            if (found == m_requests.end() || found->second.window != at->first)
                continue;
            const bool active =
                found->second.phase == Phase::Running || found->second.phase == Phase::Waiting;
            const bool remembered = found->second.keyed && at->first > m_forgottenKeyed;
            if (active || remembered) {
                kept.push_back(std::move(id));
                continue;
            }
            if (found->second.answer)
                m_answerBytes -= found->second.answer->body.size();
            m_requests.erase(found);
        }
        at->second = std::move(kept);
        at = at->second.empty() ? m_requestsByWindow.erase(at) : std::next(at);
    }
}

} // namespace guavashift
