#include <Guavashift/Entry/ThreadPool.h>

namespace guavashift {

ThreadPool::ThreadPool(std::size_t maxThreads)
    : m_maxThreads(maxThreads)
{
}

ThreadPool::~ThreadPool()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wakeUp.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
}

void ThreadPool::post(std::function<void()> work)
{
    const std::lock_guard lock(m_mutex);
    m_queue.push_back(std::move(work));
    if (m_queue.size() > m_idle && m_threads.size() < m_maxThreads)
        m_threads.emplace_back([this] { run(); });
    m_wakeUp.notify_one();
}

void ThreadPool::run()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        ++m_idle;
        m_wakeUp.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
        --m_idle;
        if (m_queue.empty())
            return;
        std::function<void()> work = std::move(m_queue.front());
        m_queue.pop_front();
        lock.unlock();
        work();
        work = nullptr;
        lock.lock();
    }
}

} // namespace guavashift
