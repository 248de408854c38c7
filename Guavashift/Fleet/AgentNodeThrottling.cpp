#include <Guavashift/Fleet/AgentNode.h>

#include <cmath>

// The part of AgentNode that shares fillers.

namespace guavashift {

void AgentNode::applyThrottling()
{
    if (!m_facts || m_facts->capacity.milliCores <= 0)
        return;
    const auto capacity = static_cast<double>(m_facts->capacity.milliCores);
    const Instant now = BootClock::now();
    std::vector<TailReading> serving;
    std::vector<BestEffortUsage> fillers;
    for (const auto &[key, run] : m_runs) {
        if (run.stage != Stage::Running)
            continue;
        // A task that has just started shows no tail yet.
        if (run.traits.tailTargetMs > 0 && run.row.figure > 0)
            serving.push_back({key.first, run.traits.image, run.tail.tailMs(),
                               static_cast<double>(run.traits.tailTargetMs)});
        if (run.traits.fillsLeftover)
            fillers.push_back({run.traits.image,
                               static_cast<double>(run.traits.milliCores) / capacity,
                               run.row.figure / capacity});
    }
    if (fillers.empty())
        return;
    const Throttler::Shares shares = m_throttler.update(serving, fillers, now);
    for (auto &[key, run] : m_runs) {
        if (run.stage == Stage::Running && run.traits.fillsLeftover)
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
                  {"fills", run.traits.fillsLeftover},
                  {"wanted", run.traits.milliCores},
                  {"pace", run.throttle},
                  {"percent", run.row.percent},
                  {"figure", run.row.figure}});
}

void AgentNode::sendThrottle(const RunKey &key, Run &run, double part)
{
    constexpr double fullShare = 100;
    const auto throttle = static_cast<std::int32_t>(std::lround(part * fullShare));
    // Small changes are not worth a call, but rest and full speed are.
    const bool isEnd = throttle == 0 || throttle == static_cast<std::int32_t>(fullShare);
    if (throttle == run.throttle
        || (!isEnd && std::abs(throttle - run.throttle) < m_agent.minShareChange))
        return;
    run.throttle = throttle;
    m_port.throttle({fence(), m_facts->lifetime.worker, key.first, key.second, throttle},
                    [this, key = key](const WorkerReply &reply) {
                        const auto found = m_runs.find(key);
                        // Whether it acts is unknown: it is told again.
                        if (found != m_runs.end() && reply.result != WorkerCallResult::Done)
                            found->second.throttle = unknownShare;
                    });
}

} // namespace guavashift
