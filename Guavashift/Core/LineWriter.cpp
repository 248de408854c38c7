#include <Guavashift/Core/LineWriter.h>

#include <algorithm>
#include <cerrno>
#include <unistd.h>
#include <utility>

namespace guavashift {

LineWriter::LineWriter(int descriptor, const LineWriterSettings &settings, DropNotice dropNotice)
    : m_descriptor(descriptor)
    , m_settings(settings)
    , m_dropNotice(std::move(dropNotice))
    , m_thread([this] { run(); })
{
}

LineWriter::~LineWriter()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wakeUp.notify_all();
    m_thread.join();
}

void LineWriter::write(std::string_view line)
{
    bool wake = false;
    {
        const std::lock_guard lock(m_mutex);
        const std::size_t room =
            m_droppedUntold > 0 ? m_settings.maxWaitingBytes / 2 : m_settings.maxWaitingBytes;
        if (m_waiting.size() + m_takenBytes + line.size() > room) {
            ++m_dropped;
            ++m_droppedUntold;
            return;
        }
        wake = m_waiting.empty();
        if (m_droppedUntold > 0)
            m_waiting += m_dropNotice(std::exchange(m_droppedUntold, 0));
        m_waiting += line;
    }
    if (wake)
        m_wakeUp.notify_one();
}

void LineWriter::flush()
{
    std::unique_lock output(m_outputMutex, std::defer_lock);
    const Instant deadline = BootClock::now() + m_settings.flushTime;
    // The writer's own thread may hang in a reader that is gone.
    while (!output.try_lock()) {
        if (BootClock::now() >= deadline)
            return;
        std::this_thread::sleep_for(m_settings.fullPause);
    }
    while (takeWaiting()) {
        if (writeTaken())
            continue;
        if (BootClock::now() >= deadline)
            return;
        std::this_thread::sleep_for(m_settings.fullPause);
    }
}

std::uint64_t LineWriter::dropped()
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

void LineWriter::run()
{
    for (;;) {
        {
            std::unique_lock lock(m_mutex);
            if (m_takenBytes > 0) {
                m_wakeUp.wait_for(lock, m_settings.fullPause, [this] { return m_stopping; });
            } else {
                m_wakeUp.wait(lock, [this] { return m_stopping || !m_waiting.empty(); });
                m_wakeUp.wait_for(lock, m_settings.gatherTime, [this] { return m_stopping; });
            }
            if (m_stopping)
                break;
        }
        const std::lock_guard output(m_outputMutex);
        if (takeWaiting())
            writeTaken();
    }
    flush();
}

bool LineWriter::takeWaiting()
{
    if (m_written < m_output.size())
        return true;
    const std::lock_guard lock(m_mutex);
    m_output = std::exchange(m_waiting, {});
    m_written = 0;
    m_takenBytes = m_output.size();
    if (m_output.empty())
        return false;
    // What was cut off ends here, so that this line begins on its own.
    if (std::exchange(m_isCutOff, false))
        m_output.insert(m_output.begin(), '\n');
    return true;
}

bool LineWriter::writeTaken()
{
    bool isFull = false;
    while (m_written < m_output.size() && !isFull) {
        const ssize_t count =
            ::write(m_descriptor, m_output.data() + m_written, m_output.size() - m_written);
        if (count > 0)
            m_written += static_cast<std::size_t>(count);
        else if (count == 0 || errno == EAGAIN || errno == EWOULDBLOCK)
            isFull = true;
        else if (errno != EINTR)
            dropTaken(); // Nobody can be told that logs cannot be written.
    }
    const std::lock_guard lock(m_mutex);
    m_takenBytes = m_output.size() - m_written;
    return !isFull;
}

void LineWriter::dropTaken()
{
    m_isCutOff = m_written > 0 && m_output[m_written - 1] != '\n';
    const auto rest = m_output.begin() + static_cast<std::ptrdiff_t>(m_written);
    const auto lines = static_cast<std::uint64_t>(std::count(rest, m_output.end(), '\n'));
    m_output.erase(rest, m_output.end());
    const std::lock_guard lock(m_mutex);
    m_dropped += lines;
    m_droppedUntold += lines;
}

} // namespace guavashift
