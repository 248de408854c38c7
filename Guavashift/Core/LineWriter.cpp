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
        const std::size_t limit =
            m_unreportedDrops > 0 ? m_settings.maxQueuedBytes / 2 : m_settings.maxQueuedBytes;
        if (m_queued.size() + m_unwrittenBytes + line.size() > limit) {
            ++m_dropped;
            ++m_unreportedDrops;
            return;
        }
        wake = m_queued.empty();
        if (m_unreportedDrops > 0)
            m_queued += m_dropNotice(std::exchange(m_unreportedDrops, 0));
        m_queued += line;
    }
    if (wake)
        m_wakeUp.notify_one();
}

void LineWriter::flush()
{
    std::unique_lock output(m_writeMutex, std::defer_lock);
    const Instant deadline = BootClock::now() + m_settings.flushTimeout;
    // The writer's thread may be blocked in a write to a reader that no longer reads.
    while (!output.try_lock()) {
        if (BootClock::now() >= deadline)
            return;
        std::this_thread::sleep_for(m_settings.retryDelay);
    }
    while (takeBatch()) {
        if (writeBatch())
            continue;
        if (BootClock::now() >= deadline)
            return;
        std::this_thread::sleep_for(m_settings.retryDelay);
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
            if (m_unwrittenBytes > 0) {
                m_wakeUp.wait_for(lock, m_settings.retryDelay, [this] { return m_stopping; });
            } else {
                m_wakeUp.wait(lock, [this] { return m_stopping || !m_queued.empty(); });
                m_wakeUp.wait_for(lock, m_settings.batchDelay, [this] { return m_stopping; });
            }
            if (m_stopping)
                break;
        }
        const std::lock_guard output(m_writeMutex);
        if (takeBatch())
            writeBatch();
    }
    flush();
}

bool LineWriter::takeBatch()
{
    if (m_written < m_batch.size())
        return true;
    const std::lock_guard lock(m_mutex);
    m_batch = std::exchange(m_queued, {});
    m_written = 0;
    m_unwrittenBytes = m_batch.size();
    if (m_batch.empty())
        return false;
    // Ends the partial line, so that the next one begins on a line of its own.
    if (std::exchange(m_hasPartialLine, false))
        m_batch.insert(m_batch.begin(), '\n');
    return true;
}

std::string_view LineWriter::nextWrite() const
{
    const std::string_view unwritten = std::string_view(m_batch).substr(m_written);
    if (unwritten.size() <= m_settings.maxBytesPerWrite)
        return unwritten;
    const std::string_view bytes = unwritten.substr(0, m_settings.maxBytesPerWrite);
    const std::size_t lineFeed = bytes.rfind('\n');
    return lineFeed == std::string_view::npos ? bytes : bytes.substr(0, lineFeed + 1);
}

bool LineWriter::writeBatch()
{
    bool isFull = false;
    while (m_written < m_batch.size() && !isFull) {
        const std::string_view bytes = nextWrite();
        const ssize_t count = ::write(m_descriptor, bytes.data(), bytes.size());
        if (count > 0)
            m_written += static_cast<std::size_t>(count);
        else if (count == 0 || errno == EAGAIN || errno == EWOULDBLOCK)
            isFull = true;
        else if (errno != EINTR)
            dropBatch(); // The log itself has failed, so the error cannot be reported there.
    }
    const std::lock_guard lock(m_mutex);
    m_unwrittenBytes = m_batch.size() - m_written;
    return !isFull;
}

void LineWriter::dropBatch()
{
    m_hasPartialLine = m_written > 0 && m_batch[m_written - 1] != '\n';
    const auto unwritten = m_batch.begin() + static_cast<std::ptrdiff_t>(m_written);
    const auto lines = static_cast<std::uint64_t>(std::count(unwritten, m_batch.end(), '\n'));
    m_batch.erase(unwritten, m_batch.end());
    const std::lock_guard lock(m_mutex);
    m_dropped += lines;
    m_unreportedDrops += lines;
}

} // namespace guavashift
