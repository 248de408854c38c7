#pragma once

#include <fmt/format.h>
#include <initializer_list>
#include <span>
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

/// Sets the lowest level that is written. The daemon does so once at start.
void setLogLevel(LogLevel level);

/// Writes one line "time=... level=... event=... key=value ..." to standard output. Values with
/// spaces or quotes are quoted. Never waits for the reader: lines that do not fit into the queue
/// are dropped and counted, and a line "event=log-lines-dropped count=..." is written in their
/// place.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});
void logEvent(LogLevel level, std::string_view event, std::span<const LogField> fields);

/// Writes the queued lines before the process ends abnormally, as far as the reader accepts them in
/// time (see LineWriter::flush()).
void flushLog();

/// Number of lines dropped since the start, because the reader was too slow or a write failed.
std::uint64_t droppedLogLines();

} // namespace guavashift
