#pragma once

#include <Guavashift/Control/Control.h>

#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

namespace guavashift {

/// Commits commands of many threads together: what gathers while one batch is on its way goes with
/// the next.
class CommandBatcher final
{
public:
    CommandBatcher(ControlClient &control, Duration timeout);
    ~CommandBatcher();
    CommandBatcher(const CommandBatcher &) = delete;
    CommandBatcher &operator=(const CommandBatcher &) = delete;

    /// Waits for the command's outcome. The command must be idempotent.
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
