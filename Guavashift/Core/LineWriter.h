#pragma once

#include <Guavashift/Core/Time.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace guavashift {

struct LineWriterSettings
{
    /// Bytes of lines that may wait to be written; further lines are dropped and counted.
    std::size_t maxQueuedBytes = 1 << 20;
    /// Lines that gather for this long are written together.
    Duration batchDelay = std::chrono::milliseconds(20);
    /// Pause before a descriptor that takes no more bytes is tried again.
    Duration retryDelay = std::chrono::milliseconds(10);
    /// How long the end of the process waits for a reader.
    Duration flushTimeout = std::chrono::milliseconds(200);
};

/// Writes lines to a descriptor on a thread of its own, so that no caller waits for a reader.
/// Lines are written whole or dropped whole; after lines were dropped, none is kept before half of
/// the room is free again, and a notice of their number then stands in their place.
class LineWriter final
{
public:
    /// The line, with its line feed, that tells how many lines were dropped.
    using DropNotice = std::function<std::string(std::uint64_t dropped)>;

    LineWriter(int descriptor, const LineWriterSettings &settings, DropNotice dropNotice);
    /// Writes what waits, as far as its reader takes it in time.
    ~LineWriter();

    LineWriter(const LineWriter &) = delete;
    LineWriter &operator=(const LineWriter &) = delete;

    /// `line` ends with a line feed.
    void write(std::string_view line);

    /// Writes what waits on the caller's thread, for a process that is about to end.
    void flush();

    /// Lines dropped since the start.
    [[nodiscard]] std::uint64_t dropped();

private:
    void run();
    /// Takes what waits, once all that was taken before is done with. False: there is nothing.
    bool takeBatch();
    /// Writes what was taken. False: the descriptor takes no more now.
    bool writeBatch();
    void dropBatch();

    int m_descriptor;
    LineWriterSettings m_settings;
    DropNotice m_dropNotice;

    std::mutex m_mutex; ///< Guards the members up to the next mutex. Locked last.
    std::condition_variable m_wakeUp;
    std::string m_queued;
    std::size_t m_unwrittenBytes = 0; ///< Taken for writing and not written yet.
    std::uint64_t m_dropped = 0;
    std::uint64_t m_unreportedDrops = 0;
    bool m_stopping = false;

    std::mutex m_writeMutex;       ///< Held while bytes are written. Locked first.
    std::string m_batch;           ///< Taken for writing.
    std::size_t m_written = 0;     ///< Bytes of `m_batch` that were written.
    bool m_hasPartialLine = false; ///< The descriptor failed within a line.

    std::thread m_thread;
};

} // namespace guavashift
