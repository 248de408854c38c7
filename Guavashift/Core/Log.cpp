#include <Guavashift/Core/Log.h>
#include <Guavashift/Core/Time.h>

#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <thread>
#include <unistd.h>
#include <utility>

namespace guavashift {

namespace {

std::atomic<LogLevel> minimumLevel{LogLevel::Info};

std::string_view nameOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        break;
    }
    return "error";
}

void appendValue(std::string &line, std::string_view value)
{
    // Plain values stand as they are.
    if (!value.empty() && value.find_first_of(" \"=\n\r\t\\") == std::string_view::npos) {
        line += value;
        return;
    }
    // Everything else is quoted, so that one event always stays one line.
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line += '\\';
        if (c == '\n' || c == '\r')
            line += "\\n";
        else
            line += c;
    }
    line += '"';
}

/// Bytes of lines that may wait to be written; further lines are dropped and counted.
constexpr std::size_t maxWaitingBytes = 1 << 20;
/// Lines that gather for this long are written together.
constexpr Duration gatherTime = std::chrono::milliseconds(20);

/// Writes lines to standard output on a thread of its own, so that no caller waits for a reader.
class LineWriter final
{
public:
    static LineWriter &instance()
    {
        static LineWriter writer;
        return writer;
    }

    LineWriter()
        : m_thread([this] { run(); })
    {
    }

    ~LineWriter()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_wakeUp.notify_all();
        m_thread.join();
    }

    LineWriter(const LineWriter &) = delete;
    LineWriter &operator=(const LineWriter &) = delete;

    void write(std::string_view line)
    {
        bool wake = false;
        {
            const std::lock_guard lock(m_mutex);
            if (m_waiting.size() + line.size() > maxWaitingBytes) {
                ++m_dropped;
                return;
            }
            wake = m_waiting.empty();
            m_waiting += line;
        }
        if (wake)
            m_wakeUp.notify_one();
    }

    /// Writes what waits on the caller's thread, for a process that is about to end.
    void flush()
    {
        const std::lock_guard lock(m_mutex);
        writeAll(std::exchange(m_waiting, {}));
    }

    [[nodiscard]] std::uint64_t dropped()
    {
        const std::lock_guard lock(m_mutex);
        return m_dropped;
    }

private:
    void run()
    {
        std::unique_lock lock(m_mutex);
        for (;;) {
            m_wakeUp.wait(lock, [this] { return m_stopping || !m_waiting.empty(); });
            if (!m_stopping)
                m_wakeUp.wait_for(lock, gatherTime, [this] { return m_stopping; });
            const std::string lines = std::exchange(m_waiting, {});
            const bool ends = m_stopping;
            lock.unlock();
            writeAll(lines);
            lock.lock();
            if (ends)
                return;
        }
    }

    static void writeAll(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t written = ::write(STDOUT_FILENO, bytes.data(), bytes.size());
            if (written <= 0)
                return; // Nobody can be told that logs cannot be written.
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::string m_waiting;
    std::uint64_t m_dropped = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace

void flushLog()
{
    LineWriter::instance().flush();
}

std::uint64_t droppedLogLines()
{
    return LineWriter::instance().dropped();
}

void setLogLevel(LogLevel level)
{
    minimumLevel = level;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < minimumLevel.load())
        return;
    std::string line = fmt::format("time={} level={} event={}", wallNow(), nameOf(level), event);
    for (const LogField &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    line += '\n';
    LineWriter::instance().write(line);
}

} // namespace guavashift
