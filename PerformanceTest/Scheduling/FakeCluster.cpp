#include <PerformanceTest/Scheduling/FakeCluster.h>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace guavashift {

namespace {

constexpr WallMs checkpointIntervalMs = 30'000;
constexpr WallMs failAfterMs = 200;
constexpr WallMs vmOutageMs = 60'000;
/// Added slowdown of a batch task whose worker has all processors reserved by batch tasks.
constexpr double batchSlowdownPerShare = 0.35;

std::size_t trailingNumber(const std::string &text)
{
    const std::size_t at = text.find_last_not_of("0123456789");
    return std::stoul(text.substr(at + 1));
}

} // namespace

FakeCluster::FakeCluster(const Scenario &scenario, StateMachine &state)
    : m_scenario(scenario)
    , m_state(state)
    , m_random(scenario.settings.seed + 1)
    , m_losses(scenario.losses)
{
    for (const ScenarioJob &job : scenario.jobs)
        m_trueRuntime[job.spec.key()] = job.trueRuntimeMs;
    std::sort(m_losses.begin(), m_losses.end(),
              [](const auto &a, const auto &b) { return a.second < b.second; });
}

WorkerId FakeCluster::workerId(std::size_t index)
{
    return WorkerId{fmt::format("w{:05}", index)};
}

void FakeCluster::announce()
{
    const ScenarioSettings &settings = m_scenario.settings;
    m_state.apply(m_now, SubmitPatch{{"bench", "1", 0, m_scenario.configuration}});
    for (std::size_t i = 0; i < settings.workers; ++i) {
        WorkerFacts facts;
        facts.incarnation.value = "agent";
        facts.bootId = "boot";
        // Three workers to a rack.
        facts.rack.value = "rack" + std::to_string(i / 3);
        facts.failureDomain.value = "domain" + std::to_string((i / 3) % settings.failureDomains);
        facts.capacity = {settings.milliCores, settings.memoryMb, 0};
        m_state.apply(m_now, AnnounceWorker{workerId(i), facts});
    }
}

double FakeCluster::interferenceOf(std::size_t index, WallMs now) const
{
    const FamilyBehaviour &family = m_scenario.families[index];
    const double seconds = static_cast<double>(now - scenarioStart) / 1000;
    const double phase =
        std::fmod(seconds + 37.0 * static_cast<double>(index), family.burstPeriodSeconds);
    return family.interference + (phase < family.burstLengthSeconds ? family.burstInterference : 0);
}

double FakeCluster::loadOf(std::size_t service, WallMs now) const
{
    // One daily load cycle spans the run; each service peaks at a different time.
    const double day = static_cast<double>(toMs(m_scenario.settings.length));
    const double phase =
        static_cast<double>(now - scenarioStart) / day + 0.13 * static_cast<double>(service);
    return 0.55 + 0.35 * std::sin(2 * std::numbers::pi * phase);
}

double FakeCluster::slowdownOf(std::size_t service, const std::vector<BatchNeighbour> &neighbours,
                               std::size_t latencyCriticalTasks, WallMs now)
{
    double interference = 0.01 * static_cast<double>(latencyCriticalTasks);
    for (const BatchNeighbour &each : neighbours)
        interference += interferenceOf(each.family, now)
            * m_scenario.sensitivity[service][each.family] * each.speed;
    // Grows faster than linearly with load and interference, unlike the scheduler's model.
    const double load = loadOf(service, now);
    std::normal_distribution<> measurementNoise(0, 0.02);
    return std::max(
        1.0, 1 + std::pow(load, 1.5) * std::pow(interference, 1.15) + measurementNoise(m_random));
}

std::size_t FakeCluster::familyOf(const Task &task)
{
    return trailingNumber(task.family);
}

void FakeCluster::loseVms(WallMs now)
{
    for (; m_nextLoss < m_losses.size() && m_losses[m_nextLoss].second <= now; ++m_nextLoss) {
        const WorkerId id = workerId(m_losses[m_nextLoss].first);
        const Worker &worker = m_state.workers().at(id);
        if (worker.status == WorkerStatus::Lost)
            continue;
        for (const TaskId &task : worker.tasks) {
            const auto run = m_running.find(task);
            if (run == m_running.end())
                continue;
            m_lostCoreMs += (run->second.doneMs - run->second.checkpointMs)
                * static_cast<double>(m_state.tasks().at(task).size.milliCores) / 1000;
            m_running.erase(run);
        }
        m_state.apply(now, DeclareWorkerLost{id, worker.facts.incarnation});
        m_lostUntil[id] = now + vmOutageMs;
    }
    std::erase_if(m_lostUntil, [&](const auto &item) {
        if (item.second > now)
            return false;
        WorkerFacts facts = m_state.workers().at(item.first).facts;
        facts.bootId = "boot" + std::to_string(++m_boots);
        m_state.apply(now, AnnounceWorker{item.first, facts});
        return true;
    });
}

std::vector<ReportAttempt> FakeCluster::advance(WallMs now)
{
    loseVms(now);
    std::vector<ReportAttempt> reports;
    for (const auto &[id, worker] : m_state.workers()) {
        if (worker.status != WorkerStatus::Lost)
            advanceWorker(worker, now, reports);
    }
    m_now = now;
    return reports;
}

void FakeCluster::advanceWorker(const Worker &worker, WallMs now,
                                std::vector<ReportAttempt> &reports)
{
    std::vector<BatchNeighbour> batch;
    std::size_t latencyCriticalTasks = 0;
    double batchShare = 0;
    for (const TaskId &id : worker.tasks) {
        const Task &task = m_state.tasks().at(id);
        Running &run = m_running[id];
        if (run.attempt != task.attempt) {
            run = {task.attempt,
                   worker.id,
                   now,
                   static_cast<double>(task.doneMs),
                   static_cast<double>(task.doneMs),
                   now};
        }
        if (task.kind == TaskKind::LatencyCritical) {
            ++latencyCriticalTasks;
            continue;
        }
        const double share = static_cast<double>(task.size.milliCores)
            / static_cast<double>(worker.facts.capacity.milliCores);
        batchShare += share;
        batch.push_back({familyOf(task), task.speedPercent / 100.0, share});
    }
    const bool failing = m_scenario.failing[trailingNumber(worker.id.value)];
    for (const TaskId &id : worker.tasks) {
        const Task &task = m_state.tasks().at(id);
        Running &run = m_running.at(id);
        if (task.phase == TaskPhase::Starting)
            reports.emplace_back(
                ReportAttempt{id, task.attempt, worker.id, AttemptEvent::Started, {}, 0});
        if (task.kind == TaskKind::LatencyCritical) {
            if (task.phase == TaskPhase::Stopping) {
                reports.emplace_back(
                    ReportAttempt{id, task.attempt, worker.id, AttemptEvent::Stopped, {}, 0});
                m_running.erase(id);
                continue;
            }
            const std::size_t service = trailingNumber(task.service.value);
            const double slowdown = slowdownOf(service, batch, latencyCriticalTasks, now);
            m_serviceSlowdowns.push_back(slowdown);
            report(task, slowdown, loadOf(service, now), now);
            continue;
        }
        const double slowdown = 1 + batchSlowdownPerShare * batchShare;
        advanceBatch(task, run, slowdown, now, failing, reports);
    }
}

void FakeCluster::advanceBatch(const Task &task, Running &run, double slowdown, WallMs now,
                               bool failing, std::vector<ReportAttempt> &reports)
{
    const double cores = static_cast<double>(task.size.milliCores) / 1000;
    run.doneMs += static_cast<double>(std::min(now - m_now, now - run.startedAt))
        * task.speedPercent / 100.0 / slowdown;
    if (now - run.checkpointAt >= checkpointIntervalMs) {
        run.checkpointMs = run.doneMs;
        run.checkpointAt = now;
    }
    const auto done = [&](AttemptEvent event, double doneMs) {
        reports.emplace_back(ReportAttempt{task.id, task.attempt, task.worker, event,
                                           "done=" + std::to_string(doneMs),
                                           static_cast<std::int64_t>(doneMs)});
        m_running.erase(task.id);
    };
    if (task.phase == TaskPhase::Stopping) {
        // An eviction loses the work since the last checkpoint.
        m_lostCoreMs += (run.doneMs - run.checkpointMs) * cores;
        done(AttemptEvent::Stopped, run.checkpointMs);
        return;
    }
    if (failing && now - run.startedAt >= failAfterMs) {
        done(AttemptEvent::Failed, run.checkpointMs);
        return;
    }
    const auto needed = static_cast<double>(m_trueRuntime.at(task.job));
    if (run.doneMs >= needed) {
        m_completedCoreMs += needed * cores;
        done(AttemptEvent::Completed, run.doneMs);
        return;
    }
    report(task, slowdown, 1, now);
}

void FakeCluster::report(const Task &task, double slowdown, double load, WallMs now)
{
    UsageReport usage;
    usage.task = task.id;
    usage.attempt = task.attempt;
    usage.measuredAt = now;
    usage.slowdownPercent = static_cast<std::uint32_t>(std::lround(100 * slowdown));
    usage.loadPercent = static_cast<std::uint32_t>(std::lround(100 * load));
    usage.used = task.size;
    if (task.kind == TaskKind::Batch)
        usage.used.memoryMb = m_scenario.families[familyOf(task)].memoryUsedMb;
    // Delays vary, so that measurements can arrive out of order.
    const WallMs reportDelay =
        toMs(m_scenario.settings.reportDelay) + static_cast<WallMs>(m_random() % 2000);
    m_pendingReports.push_back({now + reportDelay, usage});
}

std::vector<UsageReport> FakeCluster::takeUsageReports(WallMs now)
{
    std::vector<UsageReport> reports;
    for (auto &pending : m_pendingReports) {
        if (pending.at <= now) {
            reports.push_back(std::move(pending.report));
            pending.at = std::numeric_limits<WallMs>::max();
        }
    }
    while (!m_pendingReports.empty()
           && m_pendingReports.front().at == std::numeric_limits<WallMs>::max())
        m_pendingReports.pop_front();
    return reports;
}

} // namespace guavashift
