#pragma once

#include <filesystem>
#include <string>

namespace guavashift::test {

/// Redirects standard output to a file and logs at Info and above during its lifetime. Sets the log
/// level to Error at its end.
class LogCapture final
{
public:
    LogCapture();
    ~LogCapture();
    LogCapture(const LogCapture &) = delete;
    LogCapture &operator=(const LogCapture &) = delete;

    /// All lines logged so far.
    [[nodiscard]] std::string text() const;

private:
    std::filesystem::path m_path;
    int m_output = -1;
};

} // namespace guavashift::test
