#pragma once

#include <fstream>
#include <mutex>
#include <string>

namespace guavashift {

/// Appends one line for each start, end and run, so that a test can check what really happened.
class RecordFile final
{
public:
    /// An empty path records nothing.
    explicit RecordFile(const std::string &path);

    void write(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace guavashift
