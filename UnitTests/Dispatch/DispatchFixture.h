#pragma once

#include <Guavashift/Dispatch/Dispatch.h>

#include <cppunit/TestFixture.h>

namespace guavashift {

/// Reads any document as a table with one queue. A longer one is newer. "once" allows one attempt.
inline tl::expected<QueueTable, Findings> readAny(std::string_view document)
{
    QueueSettings batch;
    batch.name = "batch";
    batch.host = "h";
    batch.pathPrefix = "/b/";
    batch.service = "orders";
    batch.timeoutMs = 1000;
    batch.targetLatencyMs = 1000;
    batch.stretch = 2;
    batch.maxAttempts = document == "once" ? 1 : 3;
    return QueueTable(document.size(), {batch}, {{"orders", {}}});
}

inline Instant at(int milliseconds)
{
    return Instant(std::chrono::seconds(1000) + std::chrono::milliseconds(milliseconds));
}

inline WorkerFacts worker(const std::string &id, std::int64_t born = 1)
{
    WorkerFacts facts;
    facts.lifetime = {id, born};
    facts.service = "orders";
    facts.capacity = {64'000, 100'000, 0};
    facts.labels = {"a", "rack"};
    return facts;
}

inline JobPlan plan(std::uint32_t tasks, std::int64_t milliCores, std::int64_t estimateMs = 1000)
{
    JobPlan plan;
    plan.steps.resize(1);
    plan.steps[0].tasks = tasks;
    plan.steps[0].size = {milliCores, 100, 0};
    plan.steps[0].estimateMs = estimateMs;
    return plan;
}

/// A dispatcher whose commands take effect at once. Tests create it in setUp().
class DispatchFixture : public CppUnit::TestFixture
{
protected:
    /// The first task of job "j".
    static inline const TaskRef ref{"j", 0, 0, 0};

    [[nodiscard]] const StageTask &task() const { return *m_jobTable->find(ref); }

    void commit(const std::vector<StageCommand> &commands, int milliseconds)
    {
        for (const StageCommand &command : commands) {
            const StageOutcome outcome = m_jobTable->apply(0, command);
            m_dispatcher->applied(command, outcome, at(milliseconds));
        }
    }

    void decideAndCommit(int milliseconds)
    {
        commit(m_dispatcher->decide(at(milliseconds), milliseconds), milliseconds);
    }

    std::unique_ptr<JobTable> m_jobTable;
    std::unique_ptr<Dispatcher> m_dispatcher;
};

} // namespace guavashift
