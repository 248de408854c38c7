#pragma once

#include <fstream>
#include <mutex>
#include <string>

namespace guavashift {

/// File with one line for each start and end of a task and each run of an order, so that tests can
/// check what took place. Thread-safe.
class RecordFile final
{
public:
    /// Appends to the file at `path`. With an empty path nothing is recorded.
    explicit RecordFile(const std::string &path);

    /// Appends `line` and a line feed, and flushes.
    void write(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace guavashift
