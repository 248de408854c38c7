#include <Guavashift/Fleet/WorkerNode.h>

#include <cmath>

// The part of WorkerNode that paces fillers.

namespace guavashift {

void WorkerNode::applyPace()
{
    if (!m_facts || m_facts->capacity.milliCores <= 0)
        return;
    const auto capacity = static_cast<double>(m_facts->capacity.milliCores);
    const Instant now = BootClock::now();
    std::vector<ServingReading> serving;
    std::vector<FillerReading> fillers;
    for (const auto &[key, run] : m_runs) {
        if (run.stage != Stage::Running)
            continue;
        // A task that has just started shows no tail yet.
        if (run.traits.tailTargetMs > 0 && run.row.measurement > 0)
            serving.push_back({key.first, run.traits.image, run.tail.tailMs(),
                               static_cast<double>(run.traits.tailTargetMs)});
        if (run.traits.bestEffort)
            fillers.push_back({run.traits.image,
                               static_cast<double>(run.traits.milliCores) / capacity,
                               run.row.measurement / capacity});
    }
    if (fillers.empty())
        return;
    const Pacer::Paces paces = m_pacer.update(serving, fillers, now);
    for (auto &[key, run] : m_runs) {
        if (run.stage == Stage::Running && run.traits.bestEffort)
            sendPace(key, run, paces.at(run.traits.image));
    }
}

void WorkerNode::logLoad() const
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
                  {"pace", run.pace},
                  {"percent", run.row.percent},
                  {"figure", run.row.measurement}});
}

void WorkerNode::sendPace(const RunKey &key, Run &run, double part)
{
    constexpr double wholePace = 100;
    const auto pace = static_cast<std::int32_t>(std::lround(part * wholePace));
    // Small changes are not worth a call, but rest and full speed are.
    const bool isEnd = pace == 0 || pace == static_cast<std::int32_t>(wholePace);
    if (pace == run.pace || (!isEnd && std::abs(pace - run.pace) < m_worker.leastPaceChange))
        return;
    run.pace = pace;
    m_port.pace({fence(), m_facts->lifetime.worker, key.first, key.second, pace},
                [this, key = key](const WorkerReply &reply) {
                    const auto found = m_runs.find(key);
                    // Whether it acts is unknown: it is told again.
                    if (found != m_runs.end() && reply.result != WorkerCallResult::Done)
                        found->second.pace = unknownPace;
                });
}

} // namespace guavashift
