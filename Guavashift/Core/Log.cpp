#include <Guavashift/Core/Log.h>
#include <Guavashift/Core/Time.h>

#include <atomic>
#include <cstdio>

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

} // namespace

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
    // One write per line keeps lines of different threads apart.
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace guavashift
