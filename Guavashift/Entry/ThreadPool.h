#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace guavashift {

/// Runs work on up to `maxThreads` threads, which are started on demand and kept. The destructor
/// waits for all posted work.
class ThreadPool final
{
public:
    explicit ThreadPool(std::size_t maxThreads);
    ~ThreadPool();
    ThreadPool(const ThreadPool &) = delete;
    ThreadPool &operator=(const ThreadPool &) = delete;

    void post(std::function<void()> work);

private:
    void run();

    std::size_t m_maxThreads;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::deque<std::function<void()>> m_queue;
    std::size_t m_idle = 0;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace guavashift
