#include <Guavashift/Entry/CommandBatcher.h>

namespace guavashift {

namespace {

constexpr std::size_t maxBatch = 256;

} // namespace

CommandBatcher::CommandBatcher(ControlClient &control, Duration timeout)
    : m_control(control)
    , m_timeout(timeout)
    , m_thread([this] { run(); })
{
}

CommandBatcher::~CommandBatcher()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wakeUp.notify_all();
    m_thread.join();
}

Result<Outcome> CommandBatcher::execute(CommandBody command)
{
    std::future<Result<Outcome>> future;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
            return fail(ErrorCode::Unavailable, "this process stops");
        m_queue.push_back({std::move(command), {}});
        future = m_queue.back().promise.get_future();
    }
    m_wakeUp.notify_one();
    return future.get();
}

void CommandBatcher::run()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        m_wakeUp.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
        if (m_queue.empty())
            return;
        std::vector<PendingCommand> batch;
        const std::size_t count = std::min(maxBatch, m_queue.size());
        std::move(m_queue.begin(), m_queue.begin() + static_cast<std::ptrdiff_t>(count),
                  std::back_inserter(batch));
        m_queue.erase(m_queue.begin(), m_queue.begin() + static_cast<std::ptrdiff_t>(count));
        lock.unlock();
        send(batch);
        lock.lock();
    }
}

void CommandBatcher::send(std::vector<PendingCommand> &batch)
{
    std::vector<CommandBody> commands;
    commands.reserve(batch.size());
    for (const PendingCommand &pending : batch)
        commands.push_back(pending.command);
    Result<std::vector<Outcome>> outcomes = m_control.execute(commands, m_timeout);
    for (std::size_t i = 0; i < batch.size(); ++i) {
        if (outcomes)
            batch[i].promise.set_value(std::move((*outcomes)[i]));
        else
            batch[i].promise.set_value(tl::unexpected(outcomes.error()));
    }
}

} // namespace guavashift
