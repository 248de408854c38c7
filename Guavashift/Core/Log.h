#pragma once

#include <fmt/format.h>
#include <initializer_list>
#include <string>
#include <string_view>

namespace guavashift {

enum class LogLevel { Debug, Info, Warning, Error };

/// One key=value pair of a log line.
struct LogField
{
    template <typename Value>
    LogField(std::string_view key, const Value &value) // NOLINT(google-explicit-constructor)
        : key(key)
        , value(fmt::format("{}", value))
    {
    }

    std::string_view key;
    std::string value;
};

/// Least level that is written. Set once at start.
void setLogLevel(LogLevel level);

/// Writes one line "time=... level=... event=... key=value ..." to standard output. Values with
/// spaces or quotes are quoted. Never waits: lines that cannot be kept are dropped and counted, and
/// a line "event=log-lines-dropped count=..." stands in their place.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// Writes what still waits, as far as it is read, before the process ends abnormally.
void flushLog();

/// Lines dropped since the start because their reader was too slow.
std::uint64_t droppedLogLines();

} // namespace guavashift
