#pragma once

#include <Guavashift/Core/Time.h>

#include <climits>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace guavashift {

/// Limits and delays of a LineWriter.
struct LineWriterSettings
{
    /// Maximum number of bytes queued for writing; lines beyond this are dropped and counted.
    std::size_t maxQueuedBytes = 1 << 20;
    /// Limit of one write, which ends with a line unless a line is longer. A pipe takes a write of
    /// this size whole or not at all, and some readers take no more than a few kB of each write.
    std::size_t maxBytesPerWrite = PIPE_BUF;
    /// Time for which lines are collected before they are written as one batch.
    Duration batchDelay = std::chrono::milliseconds(20);
    /// Delay before the next write to a descriptor that accepts no more bytes.
    Duration retryDelay = std::chrono::milliseconds(10);
    /// Longest time for which flush() waits for the reader.
    Duration flushTimeout = std::chrono::milliseconds(200);
};

/// Writes lines to a descriptor on a thread of its own, so that callers of write() never wait for a
/// reader. Lines are written whole or dropped whole. After a drop, a line is queued again only if
/// the queue is at most half full with it; a notice with the number of dropped lines is then
/// written in their place. Thread-safe.
class LineWriter final
{
public:
    /// Returns the line, with its line feed, that reports how many lines were dropped.
    using DropNotice = std::function<std::string(std::uint64_t dropped)>;

    LineWriter(int descriptor, const LineWriterSettings &settings, DropNotice dropNotice);
    /// Flushes the queue as flush() does and ends the thread.
    ~LineWriter();

    LineWriter(const LineWriter &) = delete;
    LineWriter &operator=(const LineWriter &) = delete;

    /// Queues `line`, which must end with a line feed, or drops it if the queue is full.
    void write(std::string_view line);

    /// Writes all queued lines on the caller's thread, for a process that is about to end. Gives up
    /// if after `flushTimeout` the descriptor accepts no more bytes or another thread still writes.
    void flush();

    /// Number of lines dropped since the start.
    [[nodiscard]] std::uint64_t dropped();

private:
    void run();
    /// Moves the queue into the batch if the previous batch is finished. Returns false if there is
    /// nothing to write.
    bool takeBatch();
    /// Returns the next bytes of the batch that are written at once.
    [[nodiscard]] std::string_view nextWrite() const;
    /// Writes the batch. Returns false if the descriptor accepts no more bytes now.
    bool writeBatch();
    /// Drops and counts the unwritten rest of the batch.
    void dropBatch();

    int m_descriptor;
    LineWriterSettings m_settings;
    DropNotice m_dropNotice;

    std::mutex m_mutex; ///< Guards the members up to m_writeMutex. Locked second.
    std::condition_variable m_wakeUp;
    std::string m_queued;
    std::size_t m_unwrittenBytes = 0; ///< Bytes of the batch that are not written yet.
    std::uint64_t m_dropped = 0;
    std::uint64_t m_unreportedDrops = 0;
    bool m_stopping = false;

    std::mutex m_writeMutex;       ///< Guards the members below; held while writing. Locked first.
    std::string m_batch;           ///< Lines taken from the queue for writing.
    std::size_t m_written = 0;     ///< Bytes of the batch that are written.
    bool m_hasPartialLine = false; ///< A write failed in the middle of a line.

    std::thread m_thread;
};

} // namespace guavashift
