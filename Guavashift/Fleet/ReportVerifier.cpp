#include <Guavashift/Fleet/ReportVerifier.h>

namespace guavashift {

ReportVerifier::ReportVerifier(EventLoop &loop, const ReportVerifierSettings &settings,
                               WorkerPort &port, Hooks hooks)
    : m_loop(loop)
    , m_settings(settings)
    , m_port(port)
    , m_hooks(std::move(hooks))
{
}

ReportVerifier::~ReportVerifier()
{
    *m_isAlive = false;
}

void ReportVerifier::verify(const ReportedWorker &report, ReportCallback answered)
{
    const Lifetime lifetime = report.facts.lifetime;
    const Instant now = BootClock::now();
    if (!m_claims.contains(lifetime) && m_claims.size() >= m_settings.mostLifetimes)
        dropOldest();
    const auto [position, added] = m_claims.try_emplace(lifetime);
    Claim &claim = position->second;
    if (added || report.sequence >= claim.latest.sequence)
        claim.latest = report;
    claim.reportedAt = now;
    if (claim.waiting.size() >= m_settings.mostWaiting) {
        logUnverified(lifetime, "too many reports of it wait");
        return answered(ReportAnswer::Unverified);
    }
    const std::uint64_t number = ++m_lastNumber;
    claim.waiting.emplace_back(number, std::move(answered));
    m_loop.after(m_settings.answerLimit, [this, lifetime, number, isAlive = m_isAlive] {
        if (*isAlive)
            giveUp(lifetime, number);
    });
    ask(lifetime);
}

void ReportVerifier::ask(const Lifetime &lifetime)
{
    Claim &claim = m_claims.at(lifetime);
    if (claim.retryTimer != 0 || std::exchange(claim.isAsked, true))
        return;
    // An open connection may be that of another lifetime, or lead nowhere any more.
    const ProbeRequest request{lifetime.worker, m_hooks.fence(), true};
    m_port.probe(request,
                 [this, lifetime, fence = request.fence, epoch = m_epoch,
                  isAlive = m_isAlive](const WorkerReply &reply) {
                     if (*isAlive)
                         answered(lifetime, fence, epoch, reply);
                 });
}

void ReportVerifier::answered(const Lifetime &lifetime, std::uint64_t fence, std::uint64_t epoch,
                              const WorkerReply &reply)
{
    const auto found = m_claims.find(lifetime);
    if (found == m_claims.end())
        return;
    found->second.isAsked = false;
    // The answer may be older than the lifetime that was found meanwhile.
    if (epoch != m_epoch)
        return ask(lifetime);
    std::visit(Overloaded{[&](const AnsweredAsNamed &) { confirm(lifetime); },
                          [&](const AnsweredByOther &) { disprove(lifetime, reply); },
                          [&](const AnsweredByName &) { answeredByName(lifetime, fence, reply); },
                          [&](const NothingShown &) { askAgain(lifetime); }},
               meaningOf(reply, lifetime));
}

void ReportVerifier::answeredByName(const Lifetime &lifetime, std::uint64_t fence,
                                    const WorkerReply &reply)
{
    // The name decides if there is no lifetime that it could be mistaken for.
    if (reply.result == WorkerCallResult::Done && !m_hooks.isPresent(lifetime.worker))
        return confirm(lifetime);
    if (reply.result == WorkerCallResult::FencedOff)
        m_hooks.fencedOff(fence);
    askAgain(lifetime);
}

void ReportVerifier::confirm(const Lifetime &lifetime)
{
    const auto found = m_claims.find(lifetime);
    const ReportedWorker report = found->second.latest;
    m_hooks.confirmed(report);
    close(m_claims.find(lifetime), ReportAnswer::Taken);
}

void ReportVerifier::disprove(const Lifetime &lifetime, const WorkerReply &reply)
{
    const auto found = m_claims.find(lifetime);
    const ReportedWorker &report = found->second.latest;
    logEvent(LogLevel::Info, "report-disproved",
             {{"worker", lifetime.worker},
              {"born", lifetime.startedAt},
              {"address", report.address},
              {"service", report.facts.service},
              {"sequence", report.sequence},
              {"result", nameOf(reply.result)},
              {"reply_born", reply.born}});
    close(found, ReportAnswer::NotOurs);
}

void ReportVerifier::askAgain(const Lifetime &lifetime)
{
    const auto found = m_claims.find(lifetime);
    if (BootClock::now() - found->second.reportedAt > m_settings.validity) {
        logUnverified(lifetime, "the worker does not answer");
        return close(found, ReportAnswer::Unverified);
    }
    found->second.retryTimer =
        m_loop.after(m_settings.retryPause, [this, lifetime, isAlive = m_isAlive] {
            if (!*isAlive || !m_claims.contains(lifetime))
                return;
            m_claims.at(lifetime).retryTimer = 0;
            ask(lifetime);
        });
}

void ReportVerifier::dropOldest()
{
    const auto oldest =
        std::min_element(m_claims.begin(), m_claims.end(), [](const auto &left, const auto &right) {
            return left.second.reportedAt < right.second.reportedAt;
        });
    logUnverified(oldest->first, "too many lifetimes are reported");
    close(oldest, ReportAnswer::Unverified);
}

void ReportVerifier::giveUp(const Lifetime &lifetime, std::uint64_t number)
{
    const auto found = m_claims.find(lifetime);
    if (found == m_claims.end())
        return;
    auto &waiting = found->second.waiting;
    const auto each = std::find_if(waiting.begin(), waiting.end(),
                                   [&](const auto &one) { return one.first == number; });
    if (each == waiting.end())
        return;
    const ReportCallback answered = std::move(each->second);
    waiting.erase(each);
    logUnverified(lifetime, "no answer in time");
    answered(ReportAnswer::Unverified);
}

void ReportVerifier::logUnverified(const Lifetime &lifetime, std::string_view reason)
{
    logEvent(LogLevel::Warning, "report-unverified",
             {{"worker", lifetime.worker}, {"born", lifetime.startedAt}, {"reason", reason}});
}

void ReportVerifier::close(std::map<Lifetime, Claim>::iterator claim, ReportAnswer answer)
{
    const auto waiting = std::move(claim->second.waiting);
    if (claim->second.retryTimer != 0)
        m_loop.cancel(claim->second.retryTimer);
    m_claims.erase(claim);
    for (const auto &[number, answered] : waiting)
        answered(answer);
}

} // namespace guavashift
