#pragma once

#include <filesystem>
#include <string>

namespace guavashift::test {

/// Keeps what is logged at Info and above while it lives, in place of standard output.
class LogCapture final
{
public:
    LogCapture();
    ~LogCapture();
    LogCapture(const LogCapture &) = delete;
    LogCapture &operator=(const LogCapture &) = delete;

    /// All lines so far.
    [[nodiscard]] std::string text() const;

private:
    std::filesystem::path m_path;
    int m_output = -1;
};

} // namespace guavashift::test
