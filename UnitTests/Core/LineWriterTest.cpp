#include <Guavashift/Core/LineWriter.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <climits>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace guavashift;

namespace {

constexpr std::string_view noticePrefix = "dropped ";
constexpr int pipeBytes = 4096;
constexpr int pollMs = 100;

std::string testLine(std::uint64_t number)
{
    constexpr std::uint64_t lengths = 137;
    return fmt::format("line {} {}.\n", number, std::string(number % lengths, 'x'));
}

std::string dropNotice(std::uint64_t dropped)
{
    return fmt::format("{}{}\n", noticePrefix, dropped);
}

/// A pipe of one page.
class Pipe final
{
public:
    explicit Pipe(int writeFlags)
    {
        CPPUNIT_ASSERT_EQUAL(0, ::pipe2(m_ends.data(), O_CLOEXEC));
        CPPUNIT_ASSERT(::fcntl(m_ends[1], F_SETPIPE_SZ, pipeBytes) >= pipeBytes);
        CPPUNIT_ASSERT_EQUAL(0, ::fcntl(m_ends[1], F_SETFL, writeFlags));
    }
    ~Pipe()
    {
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    [[nodiscard]] int writeEnd() const { return m_ends[1]; }

    /// Reads at most 1000 bytes. Returns false if none arrived within `pollMs`.
    bool readInto(std::string &text) const
    {
        pollfd poll{m_ends[0], POLLIN, 0};
        if (::poll(&poll, 1, pollMs) <= 0)
            return false;
        std::array<char, 1000> buffer{};
        const ssize_t count = ::read(m_ends[0], buffer.data(), buffer.size());
        if (count > 0)
            text.append(buffer.data(), static_cast<std::size_t>(count));
        return count > 0;
    }

private:
    std::array<int, 2> m_ends{-1, -1};
};

std::atomic<int> signalCount{0};

void countSignal(int /*number*/)
{
    ++signalCount;
}

/// Counts of the lines in a writer's output.
struct ParsedOutput
{
    std::uint64_t lines = 0;
    std::uint64_t reportedDrops = 0;
};

/// Checks that the lines are whole and in order, and that a notice reports each gap.
ParsedOutput check(std::string_view text)
{
    ParsedOutput parsed;
    std::uint64_t next = 0;
    CPPUNIT_ASSERT(text.empty() || text.back() == '\n');
    while (!text.empty()) {
        const std::size_t end = text.find('\n') + 1;
        const std::string line(text.substr(0, end));
        text.remove_prefix(end);
        if (line.starts_with(noticePrefix)) {
            std::uint64_t count = 0;
            std::from_chars(line.data() + noticePrefix.size(), line.data() + line.size(), count);
            CPPUNIT_ASSERT_EQUAL(dropNotice(count), line);
            parsed.reportedDrops += count;
            next += count;
            continue;
        }
        CPPUNIT_ASSERT_EQUAL(testLine(next), line);
        ++next;
        ++parsed.lines;
    }
    return parsed;
}

} // namespace

/// Guards against log lines that are torn and mixed with others, as observed in a simulated day: a
/// full pipe or a signal cuts a write short.
class LineWriterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LineWriterTest);
    CPPUNIT_TEST(keepsLinesWholeOnAFullPipe);
    CPPUNIT_TEST(dropsWholeLinesAndReportsTheirNumber);
    CPPUNIT_TEST(continuesAfterSignals);
    CPPUNIT_TEST(neverWaitsForAReader);
    CPPUNIT_TEST(endsEachWriteWithALine);
    CPPUNIT_TEST_SUITE_END();

public:
    void keepsLinesWholeOnAFullPipe()
    {
        constexpr std::uint64_t lines = 2000;
        const Pipe pipe(O_NONBLOCK);
        std::string text;
        LineWriter writer(pipe.writeEnd(), {}, dropNotice);
        for (std::uint64_t i = 0; i < lines; ++i)
            writer.write(testLine(i));
        readAll(pipe, text);
        const ParsedOutput parsed = check(text);
        CPPUNIT_ASSERT_EQUAL(lines, parsed.lines);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, writer.dropped());
    }

    void dropsWholeLinesAndReportsTheirNumber()
    {
        constexpr std::uint64_t lines = 4000;
        const Pipe pipe(O_NONBLOCK);
        std::string text;
        LineWriterSettings settings;
        settings.maxQueuedBytes = 20'000;
        LineWriter writer(pipe.writeEnd(), settings, dropNotice);
        for (std::uint64_t i = 0; i < lines; ++i) {
            writer.write(testLine(i));
            // The reader is slower than the writer.
            if (i % 20 == 0)
                pipe.readInto(text);
        }
        readAll(pipe, text);
        CPPUNIT_ASSERT(writer.dropped() > 0);
        // The notice of the last gap is written with the next line.
        writer.write(testLine(lines));
        readAll(pipe, text);
        const ParsedOutput parsed = check(text);
        CPPUNIT_ASSERT_EQUAL(writer.dropped(), parsed.reportedDrops);
        CPPUNIT_ASSERT_EQUAL(lines + 1, parsed.lines + parsed.reportedDrops);
    }

    void continuesAfterSignals()
    {
        constexpr std::uint64_t lines = 3000;
        struct sigaction action
        {
        };
        struct sigaction before
        {
        };
        action.sa_handler = countSignal; // Without SA_RESTART, so that signals interrupt write().
        CPPUNIT_ASSERT_EQUAL(0, ::sigaction(SIGUSR1, &action, &before));
        const Pipe pipe(0);
        std::string text;
        {
            LineWriter writer(pipe.writeEnd(), {}, dropNotice);
            // Blocked here, so that only the writer's thread receives the signals.
            sigset_t signals;
            sigemptyset(&signals);
            sigaddset(&signals, SIGUSR1);
            ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
            for (std::uint64_t i = 0; i < lines; ++i)
                writer.write(testLine(i));
            do {
                ::kill(::getpid(), SIGUSR1);
                std::this_thread::sleep_for(std::chrono::microseconds(200));
                ::kill(::getpid(), SIGUSR1);
            } while (pipe.readInto(text));
            ::pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
        }
        ::sigaction(SIGUSR1, &before, nullptr);
        CPPUNIT_ASSERT(signalCount > 0);
        CPPUNIT_ASSERT_EQUAL(lines, check(text).lines);
    }

    void neverWaitsForAReader()
    {
        const Pipe pipe(O_NONBLOCK);
        LineWriterSettings settings;
        settings.maxQueuedBytes = 20'000;
        const auto begin = std::chrono::steady_clock::now();
        {
            LineWriter writer(pipe.writeEnd(), settings, dropNotice);
            for (std::uint64_t i = 0; i < 1000; ++i)
                writer.write(testLine(i));
            writer.flush();
            CPPUNIT_ASSERT(writer.dropped() > 0);
        }
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < std::chrono::seconds(5));
    }

    /// Guards against lines that are lost where a reader takes only a part of a large write.
    void endsEachWriteWithALine()
    {
        constexpr std::uint64_t lines = 2000;
        std::array<int, 2> ends{-1, -1};
        CPPUNIT_ASSERT_EQUAL(0, ::socketpair(AF_UNIX, SOCK_SEQPACKET, 0, ends.data()));
        std::string text;
        {
            LineWriter writer(ends[1], {}, dropNotice);
            for (std::uint64_t i = 0; i < lines; ++i)
                writer.write(testLine(i));
            // Each write is one message.
            std::vector<char> message(1 << 20);
            pollfd poll{ends[0], POLLIN, 0};
            while (::poll(&poll, 1, pollMs) > 0) {
                const ssize_t count = ::read(ends[0], message.data(), message.size());
                CPPUNIT_ASSERT(count > 0 && count <= PIPE_BUF);
                text.append(message.data(), static_cast<std::size_t>(count));
                CPPUNIT_ASSERT_EQUAL('\n', text.back());
            }
        }
        ::close(ends[0]);
        ::close(ends[1]);
        CPPUNIT_ASSERT_EQUAL(lines, check(text).lines);
    }

private:
    /// Reads slowly until no more output arrives.
    static void readAll(const Pipe &pipe, std::string &text)
    {
        while (pipe.readInto(text))
            std::this_thread::sleep_for(std::chrono::microseconds(200));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LineWriterTest);
