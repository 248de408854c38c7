#include <Guavashift/Scheduling/WorkAccount.h>

#include <algorithm>

namespace guavashift {

namespace {

/// A run that has taken as long as expected has this share of its time left, as far as is known.
constexpr double leastShareLeft = 0.1;

double milliseconds(Instant instant)
{
    return std::chrono::duration<double, std::milli>(instant.time_since_epoch()).count();
}

} // namespace

void WorkAccount::accepted(const std::string &job, JobDemand demand)
{
    Entry entry;
    entry.running.resize(demand.steps.size());
    entry.demand = std::move(demand);
    m_jobs.insert_or_assign(job, std::move(entry));
}

void WorkAccount::ended(std::string_view job)
{
    if (const auto found = m_jobs.find(job); found != m_jobs.end())
        m_jobs.erase(found);
}

void WorkAccount::runBound(std::string_view job, std::uint32_t step, Instant at)
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
        return;
    Running &running = found->second.running[step];
    ++running.runs;
    running.boundMs += milliseconds(at);
    found->second.begun = true;
}

void WorkAccount::runReleased(std::string_view job, std::uint32_t step, Instant boundAt)
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
        return;
    Running &running = found->second.running[step];
    if (running.runs == 0)
        return;
    --running.runs;
    running.boundMs = running.runs == 0 ? 0 : running.boundMs - milliseconds(boundAt);
}

void WorkAccount::tasksLeft(std::string_view job, std::uint32_t step, std::uint32_t left)
{
    if (const auto found = m_jobs.find(job); found != m_jobs.end())
        found->second.demand.steps[step].left = left;
}

const JobDemand *WorkAccount::find(std::string_view job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second.demand;
}

JobLoad WorkAccount::loadOf(const JobDemand &demand, const std::vector<Running> &running,
                            const RunTimes &times, double nowMs)
{
    JobLoad load;
    load.demand = &demand;
    std::vector<double> chains(demand.steps.size(), 0);
    for (std::size_t i = 0; i < demand.steps.size(); ++i) {
        const StepDemand &step = demand.steps[i];
        for (const std::uint32_t earlier : step.after)
            chains[i] = std::max(chains[i], chains[earlier]);
        if (step.left > 0) {
            const double expected = times.expectedMs(demand.queue, step.image, step.estimateMs);
            const std::uint32_t runs = std::min(running[i].runs, step.left);
            double runLeft = expected;
            if (runs > 0) {
                const double elapsed = nowMs - running[i].boundMs / running[i].runs;
                runLeft = std::clamp(expected - elapsed, expected * leastShareLeft, expected);
            }
            const std::uint32_t toStart = step.left - runs;
            load.toStart += toStart;
            const auto milliCores = static_cast<double>(step.milliCores);
            load.runningWork += milliCores * runs * runLeft;
            load.work += milliCores * (toStart * expected + runs * runLeft);
            chains[i] += toStart > 0 ? expected : runLeft;
        }
        load.chainMs = std::max(load.chainMs, chains[i]);
    }
    return load;
}

JobLoad WorkAccount::loadOf(const JobDemand &demand, const RunTimes &times)
{
    return loadOf(demand, std::vector<Running>(demand.steps.size()), times, 0);
}

std::vector<JobLoad> WorkAccount::loads(const RunTimes &times, Instant now) const
{
    std::vector<JobLoad> loads;
    loads.reserve(m_jobs.size());
    const double nowMs = milliseconds(now);
    for (const auto &[job, entry] : m_jobs) {
        JobLoad load = loadOf(entry.demand, entry.running, times, nowMs);
        load.job = job;
        load.begun = entry.begun;
        loads.push_back(load);
    }
    return loads;
}

} // namespace guavashift
