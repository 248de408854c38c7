#include <Guavashift/Core/Log.h>
#include <UnitTests/Support/LogCapture.h>

#include <cppunit/TestAssert.h>
#include <cstdio>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace guavashift::test {

LogCapture::LogCapture()
    : m_path(std::filesystem::temp_directory_path() / fmt::format("guavashift-log-{}", ::getpid()))
    , m_output(::dup(STDOUT_FILENO))
{
    std::fflush(stdout);
    flushLog();
    const int file = ::open(m_path.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600);
    CPPUNIT_ASSERT(m_output >= 0 && file >= 0);
    CPPUNIT_ASSERT(::dup2(file, STDOUT_FILENO) >= 0);
    ::close(file);
    setLogLevel(LogLevel::Info);
}

LogCapture::~LogCapture()
{
    setLogLevel(LogLevel::Error);
    flushLog();
    ::dup2(m_output, STDOUT_FILENO);
    ::close(m_output);
    std::filesystem::remove(m_path);
}

std::string LogCapture::text() const
{
    flushLog();
    std::ostringstream text;
    text << std::ifstream(m_path).rdbuf();
    return text.str();
}

} // namespace guavashift::test
