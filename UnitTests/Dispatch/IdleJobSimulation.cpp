#include "IdleJobSimulation.h"
#include "WaitStateText.h"

// The part of IdleJobSimulation that acts as callers and leaders, and that judges.

namespace guavashift::idlejobs {

namespace {

constexpr Ms tickMs = 20;
const std::vector<std::string> servingImages{"web", "api"};
const std::vector<std::string> fillingImages{"sort", "train", "scan"};

/// Number of tasks that need `size` each for which there is room.
std::int64_t countThatFit(const Resources &room, const Resources &size)
{
    std::int64_t count = room.milliCores / std::max<std::int64_t>(size.milliCores, 1);
    if (size.memoryMb > 0)
        count = std::min(count, room.memoryMb / size.memoryMb);
    return std::max<std::int64_t>(count, 0);
}

bool hasAnEnd(const JobPlan &plan)
{
    return std::none_of(plan.steps.begin(), plan.steps.end(),
                        [](const StepPlan &step) { return step.longRunning; });
}

} // namespace

IdleJobSimulation::IdleJobSimulation(std::uint64_t seed, bool mayStartLate, bool traces)
    : m_random(seed)
    , m_traces(traces)
    , m_table({.maxCrashes = 3}, readAny)
{
    m_table.apply(0, ReplaceConfiguration{"x"});
    m_calmFrom = between(10'000, 20'000);
    m_failurePerMille = chance(500) ? static_cast<int>(between(0, 200)) : 0;
    m_throttles = chance(700);
    m_startsLate = chance(200) && mayStartLate;
    m_loadSwing = static_cast<double>(between(0, 25)) / 100;
    m_settings.ordersJobsUnderOverload = chance(500);
    m_settings.avoidsSlowWorkers = chance(500);
    m_settings.waitsForNearPlaces = chance(500);
    if (chance(500)) {
        m_settings.warmUp.overshoot = 1.5;
        m_settings.warmUp.slack = static_cast<double>(between(1, 3));
    }
    for (int &weight : m_faultWeights)
        weight = static_cast<int>(between(0, 3));
    for (const std::string &serving : servingImages) {
        m_ownHeadroom[serving] = static_cast<double>(between(105, 400)) / 100;
        for (const std::string &filling : fillingImages)
            m_interference[{serving, filling}] =
                chance(300) ? 0 : static_cast<double>(between(0, 120)) / 10;
    }
    const Ms sites = between(3, 6);
    for (Ms i = 0; i < sites; ++i) {
        Site &site = *m_sites.emplace_back(std::make_unique<Site>());
        site.node = fmt::format("n{}", i);
        site.facts = worker(fmt::format("w{}", i));
        site.facts.capacity.milliCores = chance(700) ? 64'000 : between(2, 12) * 8000;
        site.loadPhase = between(0, 6999);
        site.facts.labels = {chance(600) ? "a" : "b", chance(500) ? "r1" : "r2"};
    }
    startLeader();
    submit();
    injectFault();
}

std::string IdleJobSimulation::run()
{
    std::string failure;
    while (failure.empty() && m_now < m_calmFrom + settleTime + judgedTime) {
        m_now += tickMs;
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            auto event = m_events.extract(m_events.begin());
            event.mapped()();
        }
        for (const auto &site : m_sites)
            step(*site);
        lead();
        if (m_now >= m_calmFrom + settleTime)
            failure = judge();
    }
    return failure;
}

JobPlan IdleJobSimulation::randomJob()
{
    JobPlan job;
    const bool lasts = chance(120);
    const bool fills = !lasts && chance(550);
    job.steps.resize(lasts ? 1 : static_cast<std::size_t>(between(1, 3)));
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        StepPlan &step = job.steps[i];
        step.tasks = static_cast<std::uint32_t>(between(1, 5));
        step.size = {between(1, chance(200) ? 40 : 14) * 1000,
                     between(1, chance(150) ? 400 : 60) * 100, 0};
        step.estimateMs = chance(200) ? between(6000, 30'000) : between(150, 6000);
        step.longRunning = lasts;
        step.bestEffort = fills && (i == 0 || chance(800));
        step.image = fills ? fillingImages.at(static_cast<std::size_t>(between(0, 2))) : "plain";
        step.checkpoints = chance(step.bestEffort ? 800 : 300);
        step.gang = !lasts && chance(150);
        if (i > 0)
            step.after = {static_cast<std::uint32_t>(i - 1)};
        if (chance(80))
            step.requiredLabel = "a";
        if (chance(100))
            step.dataRack = chance(500) ? "r1" : "r2";
    }
    if (lasts && chance(700)) {
        StepPlan &step = job.steps[0];
        step.tailTargetMs = 50;
        step.image = servingImages.at(static_cast<std::size_t>(between(0, 1)));
        step.tasks = static_cast<std::uint32_t>(m_sites.size());
        step.size.milliCores = between(1, 12) * 1000;
        step.maxPerWorker = 1;
        step.maxUnavailable = chance(500) ? 1 : 0;
    }
    return job;
}

void IdleJobSimulation::submit()
{
    if (!isTroubled())
        return;
    m_events.emplace(m_now + between(100, 1500), [this] { submit(); });
    if (!m_dispatcher)
        return;
    const std::string id = fmt::format("j{}", m_jobs++);
    if (chance(60))
        m_badJobs.insert(id);
    propose({AcceptJob{id, "batch", randomJob()}});
    if (chance(100))
        m_events.emplace(m_now + between(200, 4000), [this, id] {
            if (m_dispatcher && isTroubled())
                propose({CancelJob{id}});
        });
}

void IdleJobSimulation::startLeader()
{
    trace("a leader starts");
    m_dispatcher = std::make_unique<Dispatcher>(m_settings, m_table);
    m_dispatcher->start(instant());
    m_lastCommit = m_leadsSince = m_now;
}

void IdleJobSimulation::stopLeader()
{
    trace("the leader ends");
    // The next leader has some of the entries that were not known as committed.
    const bool keepsSome = chance(500);
    for (const Proposal &proposal : m_proposals) {
        if (!keepsSome || chance(300))
            break;
        for (const StageCommand &command : proposal.commands)
            m_table.apply(m_now, command);
    }
    m_proposals.clear();
    m_dispatcher.reset();
    for (const auto &site : m_sites) {
        site->session = 0;
        site->cutUntil = std::max(site->cutUntil, std::min(m_now + between(20, 800), m_calmFrom));
    }
    m_events.emplace(std::min(m_now + between(50, 1500), m_calmFrom), [this] { startLeader(); });
}

void IdleJobSimulation::propose(std::vector<StageCommand> commands, std::function<void()> committed)
{
    const Ms slow = isTroubled() && chance(30) ? between(50, 800) : 0;
    m_lastCommit = std::max(m_lastCommit, m_now + between(3, 30) + slow);
    m_proposals.push_back({m_lastCommit, std::move(commands), std::move(committed)});
}

void IdleJobSimulation::commit()
{
    while (!m_proposals.empty() && m_proposals.front().commitAt <= m_now) {
        const Proposal proposal = std::move(m_proposals.front());
        m_proposals.pop_front();
        for (const StageCommand &command : proposal.commands) {
            const StageOutcome outcome = m_table.apply(m_now, command);
            m_dispatcher->applied(command, outcome, instant());
        }
        if (proposal.committed)
            proposal.committed();
    }
}

void IdleJobSimulation::lead()
{
    if (!m_dispatcher)
        return;
    commit();
    if (auto commands = m_dispatcher->decide(instant(), m_now); !commands.empty())
        propose(std::move(commands));
    (void)m_dispatcher->takeInterference(instant());
    if (auto idle = m_dispatcher->takeIdleJobs(instant()))
        m_lastIdle = std::move(idle);
    for (const auto &[node, order] : m_dispatcher->takeOrders()) {
        for (const auto &site : m_sites) {
            if (site->node != node || site->session == 0)
                continue;
            m_events.emplace(m_now + between(1, 10),
                             [this, &site = *site, session = site->session, order = order] {
                                 if (site.session == session)
                                     received(site, order);
                             });
        }
    }
}

void IdleJobSimulation::injectFault()
{
    m_events.emplace(m_now + between(50, 1200), [this] {
        if (!isTroubled())
            return;
        injectFault();
        Site &site =
            *m_sites.at(static_cast<std::size_t>(between(0, static_cast<Ms>(m_sites.size()) - 1)));
        const Ms kind = between(0, 7);
        if (between(0, 3) > m_faultWeights.at(static_cast<std::size_t>(kind)))
            return;
        const auto until = [this](Ms length) { return std::min(m_now + length, m_calmFrom); };
        switch (kind) {
        case 0:
            return m_dispatcher ? stopLeader() : void();
        case 1:
        case 2:
            trace("{} is cut", site.node);
            closeSession(site);
            site.cutUntil = until(kind == 1 ? between(50, 1500) : between(1500, 8000));
            return;
        case 3:
            site.crashesAtStart = chance(600);
            if (site.isUp && !site.crashesAtStart)
                endLife(site, LifetimeEnd::Crashed);
            return;
        case 4:
            if (!site.isUp || site.facts.draining)
                return;
            site.leavesAt = until(between(500, 3000));
            site.facts.draining = true;
            trace("{} drains", site.node);
            if (site.session != 0)
                send(site, [this, &site, facts = site.facts] {
                    m_dispatcher->workerReported(site.node, facts, instant());
                });
            return;
        case 5:
            trace("{} is silent", site.node);
            site.silentUntil = until(between(100, 9000));
            return;
        case 6:
            if (m_dispatcher)
                m_dispatcher->interferenceReported(std::vector<InterferenceRow>{
                    {servingImages.at(static_cast<std::size_t>(between(0, 1))),
                     fillingImages.at(static_cast<std::size_t>(between(0, 2))),
                     static_cast<double>(between(0, 250)) / 10}});
            return;
        default:
            // The machine is lost for good, with its agent.
            const auto left = std::count_if(m_sites.begin(), m_sites.end(),
                                            [](const auto &each) { return !each->isGone; });
            if (left <= 2 || !chance(300))
                return;
            trace("{} is gone", site.node);
            closeSession(site);
            site.isGone = true;
            site.isUp = false;
            site.runs.clear();
            site.cutUntil = m_calmFrom + settleTime + judgedTime + 1;
        }
    });
}

bool IdleJobSimulation::isOwed(const std::string &id, const StageJob &job) const
{
    Resources capacity;
    Resources used;
    for (const auto &site : m_sites) {
        if (!site->isUp)
            continue;
        capacity += site->facts.capacity;
        used += usedOn(*site);
        if (std::any_of(site->runs.begin(), site->runs.end(),
                        [&](const auto &each) { return each.first.job == id; }))
            return false;
    }
    if (2 * used.milliCores >= capacity.milliCores || 2 * used.memoryMb >= capacity.memoryMb)
        return false;
    const StageOccurrence &occurrence = job.occurrences.at(0);
    for (std::uint32_t s = 0; s < job.plan.steps.size(); ++s) {
        const StepPlan &step = job.plan.steps[s];
        if (occurrence.steps[s].isDone() || !JobTable::isReady(job, 0, s))
            continue;
        std::int64_t fitting = 0;
        for (const auto &site : m_sites) {
            if (site->isUp
                && (step.requiredLabel.empty() || site->facts.hasLabel(step.requiredLabel)))
                fitting += countThatFit(site->facts.capacity - usedOn(*site), step.size);
        }
        if (fitting >= 2 * static_cast<std::int64_t>(step.gang ? step.tasks : 1))
            return true;
    }
    return false;
}

std::string IdleJobSimulation::judge()
{
    for (const auto &[id, job] : m_table.jobs()) {
        if (!job.isActive() || !hasAnEnd(job.plan) || !isOwed(id, job)) {
            m_idleSince.erase(id);
            continue;
        }
        const Ms since = m_idleSince.try_emplace(id, m_now).first->second;
        m_longestWait = std::max(m_longestWait, m_now - since);
        if (m_now - since >= longestIdle)
            return describe(id, since);
    }
    return {};
}

std::string IdleJobSimulation::describe(const std::string &id, Ms since) const
{
    std::string text = fmt::format("job {} has had nothing running from {} to {}, calm from {}", id,
                                   since, m_now, m_calmFrom);
    text += fmt::format(", starts late {}", m_startsLate);
    if (!m_lastIdle)
        return text + "; no idle jobs were listed";
    text += fmt::format("; {} idle jobs", m_lastIdle->count);
    for (const IdleJob &idle : m_lastIdle->longest) {
        if (idle.oldest.job == id)
            text += fmt::format(
                "; {} for {} ms, queued {}, bound {}, fitting {}, reserved {:.2f}: "
                "{}{}",
                idle.oldest.text(), toMs(idle.age), idle.queued, idle.bound, idle.fitting,
                idle.reservedShare, textOf(idle.state),
                m_table.find(id)->plan.steps[idle.oldest.step].bestEffort ? ", best effort" : "");
    }
    for (const auto &[other, job] : m_table.jobs()) {
        for (const auto &[number, occurrence] : job.occurrences) {
            for (std::size_t each = 0; each < occurrence.steps.size() && job.isActive(); ++each) {
                if (occurrence.steps[each].suspected > 0)
                    text += fmt::format("; suspected: {}.{}.{}, {} of {} tasks, gang {}", other,
                                        number, each, occurrence.steps[each].suspected,
                                        job.plan.steps[each].tasks, job.plan.steps[each].gang);
            }
        }
    }
    return text;
}

} // namespace guavashift::idlejobs
