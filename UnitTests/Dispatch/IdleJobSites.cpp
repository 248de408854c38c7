#include "IdleJobSimulation.h"

// The part of IdleJobSimulation that acts as agents and workers.

namespace guavashift::idlejobs {

namespace {

constexpr Ms leaseMs = 4500;
constexpr Ms tickMs = 20;
constexpr Ms gangPatience = 2000;

} // namespace

void IdleJobSimulation::beginLife(Site &site, bool isRenamed)
{
    if (isRenamed)
        site.facts.lifetime.worker += "x";
    site.facts.lifetime.startedAt = m_now + 1;
    site.facts.draining = false;
    site.coldUntil = m_settings.warmUp.slack > 0 && chance(600) ? m_now + between(500, 20'000) : 0;
    site.isUp = true;
    site.leavesAt = site.leaseEnd = site.silentUntil = 0;
    site.isUnreachable = false;
    site.inventoryDue = true;
    trace("{} born {} begins", site.facts.lifetime.worker, site.facts.lifetime.startedAt);
    if (site.session != 0) {
        const std::uint64_t session = site.session;
        closeSession(site);
        site.session = session;
        // The agent found the next lifetime in the same session.
        openSession(site);
    }
}

void IdleJobSimulation::endLife(Site &site, LifetimeEnd end)
{
    const Lifetime lifetime = site.facts.lifetime;
    std::vector<TaskRun> recent;
    std::vector<TaskRun> open;
    for (const auto &[task, run] : site.runs) {
        if (m_now - run.startedAt <= 250)
            recent.push_back({task, run.number});
    }
    for (const auto &[key, until] : site.unanswered)
        open.push_back({key.first, key.second});
    trace("{} born {} ends as {}, {} recent, {} open", lifetime.worker, lifetime.startedAt,
          nameOf(end), recent.size(), open.size());
    const auto notice = [this, lifetime, end, recent, open] {
        if (!open.empty())
            m_dispatcher->startsOpen(lifetime, open);
        m_dispatcher->lifetimeEnded(lifetime, end, LifetimeProof::AnsweredByAnother, recent);
    };
    if (site.session != 0)
        send(site, notice);
    else if (chance(500))
        site.notices.emplace_back(notice);
    site.isUp = false;
    site.runs.clear();
    site.ends.clear();
    site.unanswered.clear();
    site.lowest.clear();
    site.upAgainAt = std::min(m_now + between(200, 4000), std::max(m_calmFrom, m_now));
}

void IdleJobSimulation::closeSession(Site &site)
{
    if (std::exchange(site.session, 0) != 0 && m_dispatcher)
        m_dispatcher->nodeLost(site.node);
}

void IdleJobSimulation::openSession(Site &site)
{
    site.session = ++m_sessions;
    site.openedAt = m_now - 1;
    site.lastDelivery = m_now;
    site.inventoryDue = true;
    site.facts.coldLeftMs = std::max<Ms>(site.coldUntil - m_now, 0);
    const Lifetime lifetime = site.facts.lifetime;
    for (const auto &notice : std::exchange(site.notices, {}))
        send(site, notice);
    if (!site.isUp)
        return;
    send(site, [this, &site, lifetime, facts = site.facts] {
        m_dispatcher->lifetimeAnswered(site.node, lifetime);
        m_dispatcher->workerReported(site.node, facts, instant());
    });
    site.nextRenewal = m_now;
    site.nextReport = m_now + between(5, 100);
}

void IdleJobSimulation::send(Site &site, const std::function<void()> &action)
{
    const bool isLate = isTroubled() && chance(20);
    site.lastDelivery =
        std::max(site.lastDelivery, m_now + (isLate ? between(50, 1500) : between(1, 10)));
    m_events.emplace(site.lastDelivery, [this, &site, session = site.session, action] {
        if (m_dispatcher && site.session == session && session != 0)
            action();
    });
}

void IdleJobSimulation::refuse(Site &site, const Lifetime &lifetime, const RunKey &key)
{
    trace("{} refuses {}:{}", site.node, key.first.text(), key.second);
    send(site, [this, lifetime, key] {
        m_dispatcher->startRefused(lifetime, key.first, key.second, instant());
    });
}

void IdleJobSimulation::received(Site &site, const AgentOrder &order)
{
    std::visit(Overloaded{[&](const StartOrder &each) { start(site, each); },
                          [&](const StopOrder &each) { stop(site, each); }},
               order);
}

void IdleJobSimulation::start(Site &site, const StartOrder &order)
{
    const RunKey key{order.traits.task, order.traits.run};
    const StageJob *job = m_table.find(key.first.job);
    if (!site.isUp || site.facts.lifetime != order.lifetime || site.facts.draining
        || m_now < site.silentUntil || m_now >= site.leaseEnd
        || key.second <= site.lowest[key.first] || job == nullptr || job->plan.steps.empty()
        || (isTroubled() && chance(30)))
        return refuse(site, order.lifetime, key);
    if (isTroubled() && chance(30)) {
        site.unanswered[key] = m_now + between(300, 2500);
        return;
    }
    Run run;
    run.number = key.second;
    run.step = job->plan.steps[key.first.step];
    run.fails = m_badJobs.contains(key.first.job) || chance(m_failurePerMille);
    run.leftMs = static_cast<double>(run.step.estimateMs) * static_cast<double>(between(70, 140))
        / 100 * (run.fails ? 0.5 : 1);
    run.startedAt = m_now;
    trace("{} starts {}:{}", site.facts.lifetime.worker, key.first.text(), key.second);
    ++m_starts;
    site.runs[key.first] = run;
    if (std::exchange(site.crashesAtStart, false) && isTroubled())
        m_events.emplace(m_now + between(20, 200), [this, &site, lifetime = order.lifetime] {
            if (site.isUp && site.facts.lifetime == lifetime)
                endLife(site, LifetimeEnd::Crashed);
        });
}

void IdleJobSimulation::stop(Site &site, const StopOrder &order)
{
    if (!site.isUp || site.facts.lifetime != order.lifetime)
        return;
    const auto run = site.runs.find(order.task);
    if (run != site.runs.end() && run->second.number == order.run) {
        if (!run->second.stopAt)
            run->second.stopAt = m_now + between(1, 300);
        return;
    }
    const bool hasEnded = std::any_of(site.ends.begin(), site.ends.end(), [&](const EndRun &end) {
        return end.task == order.task && end.run == order.run;
    });
    if (hasEnded || site.unanswered.contains({order.task, order.run}))
        return;
    std::uint32_t &lowest = site.lowest[order.task];
    lowest = std::max(lowest, order.run);
    refuse(site, order.lifetime, {order.task, order.run});
}

void IdleJobSimulation::sendEnd(Site &site, const EndRun &end)
{
    send(site, [this, &site, end, lifetime = site.facts.lifetime] {
        m_dispatcher->endReported(end);
        propose(m_dispatcher->takeCommands());
        propose({}, [&site, end, lifetime] {
            if (site.facts.lifetime == lifetime)
                std::erase_if(site.ends, [&](const EndRun &each) {
                    return each.task == end.task && each.run == end.run;
                });
        });
    });
}

void IdleJobSimulation::endRun(Site &site, const TaskRef &task, RunEnd end)
{
    const auto found = site.runs.find(task);
    EndRun ended{task, found->second.number, end, {}, CrashEvidence::None};
    if (found->second.step.checkpoints && end != RunEnd::Done)
        ended.checkpoint = std::to_string(m_now);
    trace("{} ends {}:{} {}", site.facts.lifetime.worker, task.text(), ended.run, nameOf(end));
    site.lowest[task] = std::max(site.lowest[task], ended.run);
    site.runs.erase(found);
    site.ends.push_back(ended);
}

void IdleJobSimulation::step(Site &site)
{
    if (!site.isUp && !site.isGone && m_now >= site.upAgainAt)
        beginLife(site, chance(300));
    if (m_now >= site.cutUntil && site.session == 0 && m_dispatcher && m_now > m_leadsSince + 1)
        openSession(site);
    if (!site.isUp)
        return;
    if (site.leavesAt > 0 && m_now >= site.leavesAt)
        return endLife(site, LifetimeEnd::Left);
    const std::vector<std::pair<RunKey, Ms>> unanswered(site.unanswered.begin(),
                                                        site.unanswered.end());
    for (const auto &[key, until] : unanswered) {
        if (m_now < until)
            continue;
        site.unanswered.erase(key);
        if (site.session != 0)
            refuse(site, site.facts.lifetime, key);
    }
    work(site);
    if (m_now >= site.nextRenewal && site.session != 0) {
        site.nextRenewal = m_now + 500;
        const bool isLost = isTroubled() && chance(100);
        send(site, [this, &site, isLost, sentAt = m_now, lifetime = site.facts.lifetime] {
            if (m_dispatcher->leaseGranted(site.node, instant()) && !isLost
                && site.facts.lifetime == lifetime && m_now >= site.silentUntil)
                site.leaseEnd = std::max(site.leaseEnd, sentAt + leaseMs);
        });
    }
    if (m_now < site.silentUntil) {
        if (m_now > site.leaseEnd && site.session != 0
            && !std::exchange(site.isUnreachable, true)) {
            trace("{} is unreachable", site.node);
            send(site, [this, lifetime = site.facts.lifetime] {
                m_dispatcher->lifetimeEnded(lifetime, LifetimeEnd::Unreachable,
                                            LifetimeProof::LeaseRanOut, {});
            });
        }
    } else if (site.session != 0 && m_now >= site.nextReport) {
        if (std::exchange(site.isUnreachable, false))
            site.inventoryDue = true;
        site.nextReport = m_now + (isTroubled() ? between(100, 700) : between(100, 200));
        report(site);
    }
}

void IdleJobSimulation::work(Site &site)
{
    const double activity = activityOf(site);
    std::vector<TaskRef> tasks;
    for (const auto &[task, run] : site.runs)
        tasks.push_back(task);
    for (const TaskRef &task : tasks) {
        const auto found = site.runs.find(task);
        if (found == site.runs.end())
            continue;
        Run &run = found->second;
        if (m_now >= site.leaseEnd) {
            endRun(site, task, RunEnd::Lapsed);
        } else if (run.stopAt && m_now >= *run.stopAt) {
            endRun(site, task, RunEnd::Stopped);
        } else if (run.step.gang) {
            workInGang(site, task);
        } else if (!run.step.longRunning) {
            run.leftMs -= static_cast<double>(tickMs) * (run.step.bestEffort ? activity : 1);
            if (run.leftMs <= 0)
                endRun(site, task, run.fails ? RunEnd::Failed : RunEnd::Done);
        }
    }
}

void IdleJobSimulation::workInGang(Site &site, const TaskRef &task)
{
    Run &run = site.runs.at(task);
    std::vector<std::pair<Site *, TaskRef>> members;
    double slowest = 1;
    for (const auto &each : m_sites) {
        for (const auto &[other, otherRun] : each->runs) {
            if (other.job != task.job || other.step != task.step || otherRun.number != run.number)
                continue;
            members.emplace_back(each.get(), other);
            slowest = std::min(slowest, otherRun.step.bestEffort ? activityOf(*each) : 1);
        }
    }
    if (members.size() < run.step.tasks) {
        if (run.joined)
            endRun(site, task, RunEnd::Broken);
        else if (m_now - run.startedAt > gangPatience)
            endRun(site, task, RunEnd::Alone);
        return;
    }
    run.joined = true;
    run.leftMs -= static_cast<double>(tickMs) * slowest;
    if (run.leftMs > 0)
        return;
    if (run.fails)
        return endRun(site, task, RunEnd::Failed);
    for (const auto &[member, ref] : members)
        endRun(*member, ref, RunEnd::Done);
}

void IdleJobSimulation::report(Site &site)
{
    constexpr std::int32_t whole = 100;
    // Listed until they are acknowledged.
    for (const EndRun &end : site.ends)
        sendEnd(site, end);
    std::vector<RunStatus> rows;
    const double activity = activityOf(site);
    for (const auto &[task, run] : site.runs) {
        RunStatus row{task, run.number, {}, whole, 0};
        const double noise = static_cast<double>(between(95, 105)) / 100;
        if (run.step.tailTargetMs > 0) {
            const double left =
                ownHeadroomOf(site, run.step.image) - activity * lossOf(site, run.step.image);
            row.measurement =
                static_cast<double>(run.step.tailTargetMs) / std::max(left, 0.05) * noise;
        } else {
            row.measurement = static_cast<double>(run.step.size.milliCores)
                * (run.step.bestEffort ? activity : 1);
        }
        rows.push_back(row);
    }
    // A run that nobody knows, as one of a job that has ended long ago.
    if (isTroubled() && chance(10))
        rows.push_back({{"forgotten", 0, 0, 0}, 1, {}, whole, 0});
    if (std::exchange(site.inventoryDue, false)) {
        std::vector<TaskRun> open;
        for (const auto &[key, until] : site.unanswered)
            open.push_back({key.first, key.second});
        send(site, [this, &site, rows, open, lifetime = site.facts.lifetime] {
            if (m_startsLate)
                m_dispatcher->startsMayArriveLate(lifetime, open, true);
            m_dispatcher->inventoryReported(lifetime, rows, at(static_cast<int>(site.openedAt)));
        });
    }
    if (!isTroubled() || !chance(100))
        send(site, [this, rows, lifetime = site.facts.lifetime] {
            m_dispatcher->runsReported(lifetime, rows, instant());
        });
}

double IdleJobSimulation::ownHeadroomOf(const Site &site, const std::string &image) const
{
    constexpr double period = 7000;
    const auto phase = static_cast<double>(m_now + site.loadPhase);
    return m_ownHeadroom.at(image) * (1 + m_loadSwing * std::sin(phase / period * 6.28));
}

double IdleJobSimulation::lossOf(const Site &site, const std::string &image) const
{
    double loss = 0;
    for (const auto &[task, run] : site.runs) {
        if (run.step.bestEffort)
            loss += m_interference.at({image, run.step.image})
                * static_cast<double>(run.step.size.milliCores)
                / static_cast<double>(site.facts.capacity.milliCores);
    }
    return loss;
}

double IdleJobSimulation::activityOf(const Site &site) const
{
    constexpr double least = 0.05;
    constexpr double aim = 1.1;
    double demand = 0;
    double activity = 1;
    for (const auto &[task, run] : site.runs) {
        if (run.step.bestEffort)
            demand += static_cast<double>(run.step.size.milliCores);
        const double loss = run.step.tailTargetMs > 0 ? lossOf(site, run.step.image) : 0;
        if (m_throttles && loss > 0)
            activity = std::min(activity, (ownHeadroomOf(site, run.step.image) - aim) / loss);
    }
    const auto unused = static_cast<double>((site.facts.capacity - usedOn(site)).milliCores) + 4000;
    return std::clamp(std::min(activity, demand > 0 ? unused / demand : 1.0), least, 1.0);
}

Resources IdleJobSimulation::usedOn(const Site &site)
{
    Resources used;
    for (const auto &[task, run] : site.runs)
        used += reservationOf(run.step);
    return used;
}

} // namespace guavashift::idlejobs
