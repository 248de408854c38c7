#pragma once

#include <Guavashift/Control/Control.h>

#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

namespace guavashift {

/// Commits the commands of many threads in batches: commands that arrive while one batch is being
/// committed form the next.
class CommandBatcher final
{
public:
    CommandBatcher(ControlClient &control, Duration timeout);
    ~CommandBatcher();
    CommandBatcher(const CommandBatcher &) = delete;
    CommandBatcher &operator=(const CommandBatcher &) = delete;

    /// Commits the command and waits for its outcome. The command must be idempotent.
    Result<Outcome> execute(CommandBody command);

private:
    struct PendingCommand
    {
        CommandBody command;
        std::promise<Result<Outcome>> promise;
    };

    void run();
    void send(std::vector<PendingCommand> &batch);

    ControlClient &m_control;
    Duration m_timeout;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::vector<PendingCommand> m_queue;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace guavashift
