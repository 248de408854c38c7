#pragma once

#include <Guavashift/Channel/Channel.h>

#include <cppunit/TestAssert.h>
#include <thread>

namespace guavashift {

/// A node with its own event loop, so that it can be stopped and restarted. The test runs the loop
/// round by round, or lets it run in a thread of its own.
template <typename Node> struct Hosted
{
    template <typename Make> explicit Hosted(Make make)
    {
        CPPUNIT_ASSERT(loop.open());
        node = make(loop);
        CPPUNIT_ASSERT(node->start());
    }

    ~Hosted() { stopThread(); }

    Hosted(const Hosted &) = delete;
    Hosted &operator=(const Hosted &) = delete;

    /// Runs the loop in its own thread until the end of this object. The node may then be used by
    /// posted work only.
    void runInThread()
    {
        thread = std::thread([this] { loop.run(); });
    }

    /// Ends the loop's thread, if it has one, after the current round.
    void stopThread()
    {
        if (!thread.joinable())
            return;
        loop.stop();
        thread.join();
    }

    [[nodiscard]] bool hasThread() const { return thread.joinable(); }

    EventLoop loop{EventLoopSettings()};
    std::unique_ptr<Node> node;
    std::thread thread;
};

} // namespace guavashift
