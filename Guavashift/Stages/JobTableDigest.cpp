#include <Guavashift/Core/HashBuilder.h>
#include <Guavashift/Stages/JobTable.h>

// The part of JobTable that computes the digest of its state.

namespace guavashift {

namespace {

void addLifetime(HashBuilder &hash, const Lifetime &lifetime)
{
    hash.add(lifetime.worker);
    hash.add(static_cast<std::uint64_t>(lifetime.startedAt));
}

void addTask(HashBuilder &hash, const StageTask &task)
{
    hash.add(static_cast<std::uint64_t>(task.stage));
    hash.add(task.run);
    hash.add(task.failures);
    addLifetime(hash, task.lifetime);
    hash.add(task.checkpoint);
    hash.add(task.crashes);
    hash.add(task.exemptCrashes);
}

void addStep(HashBuilder &hash, const StageStep &step)
{
    hash.add(step.tasks.size());
    hash.add(step.done);
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        // Most tasks of a large step have not begun.
        if (step.tasks[i] == StageTask{})
            continue;
        hash.add(i);
        addTask(hash, step.tasks[i]);
    }
}

void addJob(HashBuilder &hash, const std::string &id, const StageJob &job)
{
    hash.add(id);
    hash.add(job.queue);
    hash.add(static_cast<std::uint64_t>(job.status));
    hash.add(static_cast<std::uint64_t>(job.acceptedAt));
    hash.add(static_cast<std::uint64_t>(job.endedAt));
    hash.add(job.bound);
    hash.add(job.started ? 1 : 0);
    hash.add(job.plan.payload);
    hash.add(job.plan.steps.size());
    hash.add(job.plan.occurrences);
    hash.add(job.occurrencesDone.firstMissing());
    hash.add(job.occurrencesDone.size());
    hash.add(job.occurrences.size());
    for (const auto &[number, occurrence] : job.occurrences) {
        hash.add(number);
        for (const StageStep &step : occurrence.steps)
            addStep(hash, step);
    }
}

} // namespace

std::uint64_t JobTable::stateDigest() const
{
    HashBuilder hash;
    hash.add(m_digest);
    hash.add(static_cast<std::uint64_t>(m_time));
    hash.add(m_document);
    hash.add(m_jobs.size());
    for (const auto &[id, job] : m_jobs)
        addJob(hash, id, job);
    for (const auto &[time, job] : m_earlyCancels.entries()) {
        hash.add(static_cast<std::uint64_t>(time));
        hash.add(job);
    }
    for (const std::string &domain : m_evacuations.names())
        hash.add(domain);
    for (const auto &[domain, time] : m_evacuations.returns()) {
        hash.add(domain);
        hash.add(static_cast<std::uint64_t>(time));
    }
    hash.add(m_answered.lastOrder());
    for (const auto &[lifetime, entry] : m_answered.entries()) {
        addLifetime(hash, lifetime);
        hash.add(entry.node);
        hash.add(entry.order);
    }
    return hash.value();
}

} // namespace guavashift
