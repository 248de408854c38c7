#include <Guavashift/State/StateMachine.h>

// Part of StateMachine: the claims of idempotency keys, and the check of the invariants.

namespace guavashift {

namespace {

/// Limit of the bodies of kept answers, which are part of every snapshot.
constexpr std::size_t maxKeptAnswerBytes = 8 << 20;

std::size_t bytesOf(const Claim &claim)
{
    return claim.answer ? claim.answer->body.size() : 0;
}

} // namespace

std::string StateMachine::claimKey(const Claim &claim)
{
    return claim.service.value + "\n" + claim.key;
}

void StateMachine::expireClaims()
{
    while (!m_claimExpiry.empty() && m_claimExpiry.begin()->first <= m_time) {
        const auto expired = m_claims.find(m_claimExpiry.begin()->second);
        m_keptAnswerBytes -= bytesOf(expired->second);
        m_claims.erase(expired);
        m_claimExpiry.erase(m_claimExpiry.begin());
    }
}

Outcome StateMachine::handle(const ClaimKey &command)
{
    const std::string key = claimKey(command.claim);
    const auto found = m_claims.find(key);
    if (found != m_claims.end() && m_rules.checkClaims) {
        if (found->second.requestHash != command.claim.requestHash)
            return Rejected{"the key was used for another request"};
        return ClaimGranted{found->second, false};
    }
    Claim claim = command.claim;
    claim.expiresAt = m_time + 1000 * WallMs(m_configuration.document().limits.keyExpirySeconds);
    claim.end = endOfNewClaim(claim);
    claim.answer.reset();
    addClaim(key, claim);
    return ClaimGranted{std::move(claim), true};
}

Outcome StateMachine::handle(const MoveClaim &command)
{
    const auto found = m_claims.find(claimKey(command.claim));
    if (found == m_claims.end())
        return Rejected{"there is no such claim"};
    Claim &claim = found->second;
    // Another entry process may have moved the claim already; then its claim is in force.
    if (claim.requestId != command.from)
        return ClaimGranted{claim, false};
    claim.requestId = command.claim.requestId;
    claim.worker = command.claim.worker;
    claim.incarnation = command.claim.incarnation;
    claim.window = command.claim.window;
    claim.end = endOfNewClaim(claim);
    return ClaimGranted{claim, true};
}

ClaimEnd StateMachine::endOfNewClaim(const Claim &claim) const
{
    // An entry that has not heard yet that the agent was stopped names it still.
    const auto worker = m_workers.find(claim.worker);
    const bool closed = worker != m_workers.end() && !claim.incarnation.isEmpty()
        && worker->second.closedIncarnation == claim.incarnation;
    return closed ? ClaimEnd::NotRun : ClaimEnd::Open;
}

Findings StateMachine::checkInvariants() const
{
    Findings findings;
    std::map<WorkerId, Resources> reserved;
    std::map<TeamId, Resources> usage;
    std::map<std::string, std::uint32_t> open;
    for (const auto &[id, task] : m_tasks) {
        if (task.isPlaced()) {
            reserved[task.worker] += task.size;
            usage[task.team] += task.size;
        }
        if (task.isPlaced() != !task.worker.isEmpty())
            findings.push_back({id.value, "phase and worker disagree"});
        const bool waits =
            m_queued.contains(queuePositionOf(task)) || m_unreleased.contains({task.releaseAt, id});
        if ((task.phase == TaskPhase::Queued) != waits)
            findings.push_back({id.value, "phase and queue disagree"});
        if (task.kind == TaskKind::Batch && task.phase != TaskPhase::Done)
            ++open[task.job];
    }
    for (const auto &[id, worker] : m_workers) {
        if (worker.reserved != reserved[id])
            findings.push_back({id.value, "reservations do not add up"});
        if (!worker.tasks.empty() && !worker.reserved.fitsWithin(worker.facts.capacity))
            findings.push_back({id.value, "committed beyond its capacity"});
    }
    for (const auto &[team, used] : m_teamUsage) {
        if (used != usage[team])
            findings.push_back({team.value, "the team's usage does not add up"});
    }
    for (const auto &[key, job] : m_jobs) {
        if (job.status == JobStatus::Active && job.openTasks != open[key])
            findings.push_back({key, "open tasks do not add up"});
        if (job.status == JobStatus::Completed && job.completedTasks != job.spec.tasks)
            findings.push_back({key, "completed without all its tasks"});
    }
    return findings;
}

Outcome StateMachine::handle(const KeepAnswers &command)
{
    std::map<RequestId, const KeptAnswer *> answers;
    for (const KeptAnswer &answer : command.answers)
        answers.emplace(answer.requestId, &answer);
    for (const RequestId &id : command.withoutAnswer)
        answers.emplace(id, nullptr);
    for (auto &[key, claim] : m_claims) {
        const auto found = answers.find(claim.requestId);
        if (claim.incarnation != command.incarnation || claim.answer || found == answers.end())
            continue;
        claim.end = ClaimEnd::MayHaveRun;
        const KeptAnswer *answer = found->second;
        if (answer == nullptr || m_keptAnswerBytes + answer->body.size() > maxKeptAnswerBytes)
            continue;
        claim.answer = *answer;
        m_keptAnswerBytes += bytesOf(claim);
    }
    return Applied{};
}

Outcome StateMachine::handle(const CloseAgent &command)
{
    const auto worker = m_workers.find(command.worker);
    if (worker == m_workers.end())
        return Rejected{"there is no such worker"};
    worker->second.closedIncarnation = command.incarnation;
    for (auto &[key, claim] : m_claims) {
        // The agent may have forgotten requests of older windows.
        if (claim.worker == command.worker && claim.incarnation == command.incarnation
            && claim.end == ClaimEnd::Open && claim.window >= command.oldestWindow)
            claim.end = ClaimEnd::NotRun;
    }
    return Applied{};
}

void StateMachine::addClaim(const std::string &key, Claim claim)
{
    m_claimExpiry.emplace(claim.expiresAt, key);
    m_keptAnswerBytes += bytesOf(claim);
    m_claims.insert_or_assign(key, std::move(claim));
}

void to_json(Json &json, const Claim &claim)
{
    json = {{"service", claim.service},         {"key", claim.key},
            {"requestHash", claim.requestHash}, {"requestId", claim.requestId},
            {"worker", claim.worker},           {"incarnation", claim.incarnation},
            {"window", claim.window},           {"expiresAt", claim.expiresAt}};
    if (claim.answer)
        json["answer"] = *claim.answer;
    if (claim.end != ClaimEnd::Open)
        json["end"] = claim.end;
}

void from_json(const Json &json, Claim &claim)
{
    const Claim none;
    claim.service = json.value("service", none.service);
    claim.key = json.value("key", none.key);
    claim.requestHash = json.value("requestHash", none.requestHash);
    claim.requestId = json.value("requestId", none.requestId);
    claim.worker = json.value("worker", none.worker);
    claim.incarnation = json.value("incarnation", none.incarnation);
    claim.window = json.value("window", none.window);
    claim.expiresAt = json.value("expiresAt", none.expiresAt);
    claim.end = json.value("end", none.end);
    if (const auto answer = json.find("answer"); answer != json.end())
        claim.answer = answer->get<KeptAnswer>();
}

} // namespace guavashift
