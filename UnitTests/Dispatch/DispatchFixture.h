#pragma once

#include <Guavashift/Dispatch/Dispatch.h>

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

} // namespace guavashift
