#include <Guavashift/State/StateMachine.h>

namespace guavashift {

StateMachine::StateMachine(const StateRules &rules)
    : m_rules(rules)
{
}

std::vector<Outcome> StateMachine::apply(const CommandBatch &batch)
{
    std::vector<Outcome> outcomes;
    outcomes.reserve(batch.commands.size());
    for (const CommandBody &command : batch.commands)
        outcomes.push_back(apply(batch.time, command));
    return outcomes;
}

Outcome StateMachine::apply(WallMs time, const CommandBody &command)
{
    // The clocks of leaders differ; the state's time never goes back.
    m_time = std::max(m_time, time);
    expireClaims();
    removeExpiredJobs();
    releaseDueTasks();
    return std::visit([this](const auto &body) { return handle(body); }, command);
}

Outcome StateMachine::handle(const SubmitPatch &command)
{
    ConfigPatch patch = command.patch;
    if (!m_rules.checkVersion)
        patch.baseVersion = m_configuration.version();
    PatchOutcome outcome = m_configuration.apply(patch, m_time);
    if (const auto *accepted = std::get_if<PatchAccepted>(&outcome);
        accepted != nullptr && !accepted->resent)
        reconcileServices();
    return std::visit([](auto &result) { return Outcome(std::move(result)); }, outcome);
}

Outcome StateMachine::handle(const AnnounceWorker &command)
{
    auto [position, added] = m_workers.try_emplace(command.worker);
    Worker &worker = position->second;
    if (!added && worker.facts == command.facts && worker.status != WorkerStatus::Lost)
        return Applied{false};
    worker.id = command.worker;
    // After a restart of the VM none of its attempts is left.
    if (!added && worker.facts.bootId != command.facts.bootId)
        endAttempts(worker);
    // Backend servers announce themselves again with a new agent.
    if (worker.facts.incarnation != command.facts.incarnation)
        worker.backends.clear();
    worker.facts = command.facts;
    if (worker.status == WorkerStatus::Lost)
        worker.status = WorkerStatus::Up;
    incrementOrdersVersion(worker);
    incrementRoutingVersion(worker);
    return Applied{};
}

Outcome StateMachine::handle(const UpdateBackends &command)
{
    const auto found = m_workers.find(command.worker);
    if (found == m_workers.end() || found->second.facts.incarnation != command.incarnation)
        return Rejected{"the agent is not announced"};
    if (found->second.backends == command.backends)
        return Applied{false};
    found->second.backends = command.backends;
    incrementRoutingVersion(found->second);
    return Applied{};
}

Outcome StateMachine::handle(const DeclareWorkerLost &command)
{
    const auto found = m_workers.find(command.worker);
    if (found == m_workers.end() || found->second.facts.incarnation != command.incarnation)
        return Rejected{"the agent is not announced"};
    Worker &worker = found->second;
    if (worker.status == WorkerStatus::Lost)
        return Applied{false};
    worker.status = WorkerStatus::Lost;
    worker.backends.clear();
    endAttempts(worker);
    incrementRoutingVersion(worker);
    return Applied{};
}

Outcome StateMachine::handle(const DrainWorker &command)
{
    const auto found = m_workers.find(command.worker);
    if (found == m_workers.end())
        return Rejected{"there is no such worker"};
    Worker &worker = found->second;
    const WorkerStatus wanted = command.draining ? WorkerStatus::Draining : WorkerStatus::Up;
    if (worker.status == wanted)
        return Applied{false};
    if (worker.status == WorkerStatus::Lost)
        return Rejected{"the worker is lost"};
    worker.status = wanted;
    incrementRoutingVersion(worker);
    return Applied{};
}

void StateMachine::endAttempts(Worker &worker)
{
    const std::set<TaskId> tasks = worker.tasks;
    for (const TaskId &id : tasks)
        taskStopped(m_tasks.at(id));
    GUAVASHIFT_CHECK(worker.tasks.empty());
}

} // namespace guavashift
