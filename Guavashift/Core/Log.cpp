#include <Guavashift/Core/LineWriter.h>
#include <Guavashift/Core/Log.h>

#include <atomic>
#include <unistd.h>

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
    // Plain values are written unquoted.
    if (!value.empty() && value.find_first_of(" \"=\n\r\t\\") == std::string_view::npos) {
        line += value;
        return;
    }
    // All others are quoted and their line breaks escaped, so that each event is one line.
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

std::string lineStart(LogLevel level, std::string_view event)
{
    return fmt::format("time={} level={} event={}", wallNow(), nameOf(level), event);
}

std::string dropNotice(std::uint64_t dropped)
{
    return fmt::format("{} count={}\n", lineStart(LogLevel::Warning, "log-lines-dropped"), dropped);
}

LineWriter &output()
{
    static LineWriter writer(STDOUT_FILENO, {}, dropNotice);
    return writer;
}

} // namespace

void flushLog()
{
    output().flush();
}

std::uint64_t droppedLogLines()
{
    return output().dropped();
}

void setLogLevel(LogLevel level)
{
    minimumLevel = level;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    logEvent(level, event, std::span<const LogField>(fields.begin(), fields.size()));
}

void logEvent(LogLevel level, std::string_view event, std::span<const LogField> fields)
{
    if (level < minimumLevel.load())
        return;
    std::string line = lineStart(level, event);
    for (const LogField &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    line += '\n';
    output().write(line);
}

} // namespace guavashift
