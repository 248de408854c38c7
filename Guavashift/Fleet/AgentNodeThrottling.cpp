#include <Guavashift/Fleet/AgentNode.h>

#include <cmath>

// The part of AgentNode that throttles best-effort tasks.

namespace guavashift {

void AgentNode::applyThrottling()
{
    if (!m_facts || m_facts->capacity.milliCores <= 0)
        return;
    const auto capacity = static_cast<double>(m_facts->capacity.milliCores);
    const Instant now = BootClock::now();
    std::vector<TailReading> latencyCritical;
    std::vector<BestEffortUsage> bestEffort;
    for (const auto &[key, run] : m_runs) {
        if (run.stage != Stage::Running)
            continue;
        // No tail latency is reported for a task that has just started.
        if (run.traits.tailTargetMs > 0 && run.row.measurement > 0)
            latencyCritical.push_back({key.first, run.traits.image, run.tail.tailMs(),
                                       static_cast<double>(run.traits.tailTargetMs)});
        if (run.traits.bestEffort)
            bestEffort.push_back({run.traits.image,
                                  static_cast<double>(run.traits.milliCores) / capacity,
                                  run.row.measurement / capacity});
    }
    if (bestEffort.empty())
        return;
    const Throttler::Shares shares = m_throttler.update(latencyCritical, bestEffort, now);
    for (auto &[key, run] : m_runs) {
        if (run.stage == Stage::Running && run.traits.bestEffort)
            sendThrottle(key, run, shares.at(run.traits.image));
    }
}

void AgentNode::logLoad() const
{
    for (const auto &[key, run] : m_runs)
        logEvent(LogLevel::Debug, "run-row",
                 {{"worker", m_facts->lifetime.worker},
                  {"milli_cores", m_facts->capacity.milliCores},
                  {"task", key.first.text()},
                  {"image", run.traits.image},
                  {"target_ms", run.traits.tailTargetMs},
                  {"fills", run.traits.bestEffort},
                  {"wanted", run.traits.milliCores},
                  {"pace", run.sharePercent},
                  {"percent", run.row.percent},
                  {"figure", run.row.measurement}});
}

void AgentNode::sendThrottle(const RunKey &key, Run &run, double share)
{
    constexpr double fullSharePercent = 100;
    const auto sharePercent = static_cast<std::int32_t>(std::lround(share * fullSharePercent));
    // Small changes are not worth a call, except to a pause or to the full share.
    const bool isEnd =
        sharePercent == 0 || sharePercent == static_cast<std::int32_t>(fullSharePercent);
    if (sharePercent == run.sharePercent
        || (!isEnd && std::abs(sharePercent - run.sharePercent) < m_agent.minSharePercentChange))
        return;
    run.sharePercent = sharePercent;
    m_port.throttle({fence(), m_facts->lifetime.worker, key.first, key.second, sharePercent},
                    [this, key = key](const WorkerReply &reply) {
                        const auto found = m_runs.find(key);
                        // Whether the share took effect is unknown, so it is sent again.
                        if (found != m_runs.end() && reply.result != WorkerCallResult::Done)
                            found->second.sharePercent = unknownSharePercent;
                    });
}

} // namespace guavashift
