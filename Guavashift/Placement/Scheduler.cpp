#include <Guavashift/Placement/Scheduler.h>

#include <algorithm>

namespace guavashift {

namespace {

/// A task with less slack takes the best worker available instead of waiting for a better one.
constexpr double minSlackShare = 0.5;
constexpr WallMs minSlackMs = 10'000;

/// Longest time for which a task waits for a worker where it causes no excessive interference.
constexpr WallMs maxWaitMs = 60'000;

/// Sizes that fitted on no worker in this round; larger ones need not be tried.
class FailedSizes final
{
public:
    [[nodiscard]] bool covers(const Resources &size) const
    {
        return std::any_of(m_sizes.begin(), m_sizes.end(),
                           [&](const Resources &failed) { return failed.fitsWithin(size); });
    }

    void add(const Resources &size)
    {
        constexpr std::size_t maxSizes = 16;
        if (m_sizes.size() < maxSizes)
            m_sizes.push_back(size);
    }

private:
    std::vector<Resources> m_sizes;
};

} // namespace

Scheduler::Scheduler(const SchedulerSettings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
    , m_interference(InterferenceSettings{.remembersPeaks = settings.remembersPeaks},
                     settings.attributesToPast)
    , m_placer(settings.placement, settings.spreadsServices, m_interference, m_random)
    , m_mitigator(settings.mitigation, m_interference)
    , m_preemptor(m_random)
{
}

void Scheduler::observe(const UsageReport &report, const StateMachine &state)
{
    m_interference.observe(report, state);
    const auto task = state.tasks().find(report.task);
    if (task != state.tasks().end() && task->second.kind == TaskKind::Batch)
        m_runtimes.used(m_interference.families().idOf(task->second.family), report.used);
}

void Scheduler::completed(const Task &task, std::int64_t doneMs)
{
    m_runtimes.completed(m_interference.families().idOf(task.family), task.declaredRuntimeMs,
                         doneMs);
}

std::vector<CommandBody> Scheduler::decide(const StateMachine &state, WallMs now)
{
    std::vector<CommandBody> commands;
    m_interference.track(state, now);
    ClusterView view(state, now);
    const bool draining =
        std::any_of(state.workers().begin(), state.workers().end(), [](const auto &item) {
            return item.second.status == WorkerStatus::Draining && !item.second.tasks.empty();
        });
    if (draining)
        Preemptor::evictFromDraining(state, commands);
    m_mitigator.decide(view, commands);
    std::vector<Candidate> candidates = collect(state, now);
    order(candidates);
    place(view, candidates, commands);
    return commands;
}

Scheduler::Candidate Scheduler::candidateOf(const Task &task, WallMs now)
{
    const FamilyId family = m_interference.families().idOf(task.family);
    Candidate candidate;
    candidate.task = &task;
    candidate.size = task.kind == TaskKind::Batch ? m_runtimes.size(family, task.size) : task.size;
    candidate.slackMs = std::numeric_limits<WallMs>::max();
    if (task.dueAt != 0) {
        const std::int64_t runtime = m_settings.estimatesRuntime
            ? m_runtimes.runtimeMs(family, task.declaredRuntimeMs)
            : task.declaredRuntimeMs;
        candidate.slackMs = task.dueAt - now - std::max<std::int64_t>(0, runtime - task.doneMs);
    }
    return candidate;
}

std::vector<Scheduler::Candidate> Scheduler::collect(const StateMachine &state, WallMs now)
{
    std::vector<Candidate> candidates;
    for (const QueuePosition &position : state.queued()) {
        if (candidates.size() >= m_settings.maxCandidates)
            break;
        candidates.push_back(candidateOf(state.tasks().at(position.task), now));
    }
    // Tasks released since the state's time last advanced.
    for (const auto &[releaseAt, id] : state.unreleased()) {
        if (releaseAt > now || candidates.size() >= 2 * m_settings.maxCandidates)
            break;
        candidates.push_back(candidateOf(state.tasks().at(id), now));
    }
    return candidates;
}

void Scheduler::order(std::vector<Candidate> &candidates) const
{
    const auto rank = [](const Candidate &candidate) {
        if (candidate.task->kind == TaskKind::LatencyCritical)
            return 0;
        return candidate.task->urgent ? 1 : 2;
    };
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&](const Candidate &a, const Candidate &b) {
                         if (rank(a) != rank(b))
                             return rank(a) < rank(b);
                         if (rank(a) < 2 || !m_settings.slackOrder)
                             return a.task->queuedAt < b.task->queuedAt;
                         // A task that is certain to be late does not delay others past their due
                         // time.
                         const bool lateA = a.slackMs < 0;
                         const bool lateB = b.slackMs < 0;
                         if (lateA != lateB)
                             return lateB;
                         return a.slackMs < b.slackMs;
                     });
}

void Scheduler::place(ClusterView &view, const std::vector<Candidate> &candidates,
                      std::vector<CommandBody> &commands)
{
    FailedSizes failed;
    std::size_t started = 0;
    for (const Candidate &candidate : candidates) {
        if (started >= m_settings.maxStartsPerRound)
            break;
        const Task &task = *candidate.task;
        const bool mayPreempt = task.kind == TaskKind::LatencyCritical || task.urgent;
        if (!view.hasQuota(task, candidate.size))
            continue;
        if (failed.covers(candidate.size)) {
            if (mayPreempt)
                m_preemptor.preemptFor(view, task, candidate.size, commands);
            continue;
        }
        const auto needed = static_cast<double>(task.declaredRuntimeMs) * minSlackShare;
        const bool hasSlack =
            candidate.slackMs > std::max<WallMs>(minSlackMs, static_cast<WallMs>(needed));
        const bool mayWait = !mayPreempt && hasSlack && view.now() - task.queuedAt < maxWaitMs;
        WorkerView *worker = m_placer.choose(view, task, candidate.size, mayWait);
        if (worker == nullptr) {
            // A task that only waits for a better worker does not show that its size fits nowhere.
            if (!mayWait && task.failedOn.empty())
                failed.add(candidate.size);
            if (mayPreempt)
                m_preemptor.preemptFor(view, task, candidate.size, commands);
            continue;
        }
        view.allocate(*worker, task, candidate.size);
        commands.emplace_back(StartAttempt{task.id, worker->worker->id,
                                           worker->worker->facts.incarnation, candidate.size});
        ++started;
    }
}

} // namespace guavashift
