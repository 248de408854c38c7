#pragma once

#include <Guavashift/Channel/Channel.h>
#include <Guavashift/Fleet/AnswerMeaning.h>
#include <Guavashift/Fleet/ReportedWorker.h>

namespace guavashift {

struct ReportVerifierSettings
{
    /// Time after which the sender of a report learns that it could not be verified. Shorter than
    /// senders wait, see PROTOCOL, Service discovery.
    Duration answerLimit = std::chrono::milliseconds(700);
    /// Time for which a lifetime is asked for after its last report, unless an answer decides.
    Duration validity = std::chrono::seconds(3);
    /// Pause between two calls for a lifetime without a decision.
    Duration retryPause = std::chrono::milliseconds(150);
    /// Lifetimes that are asked for at the same time. A further one takes the place of that which
    /// was reported the longest time ago.
    std::size_t mostLifetimes = 8;
    /// Reports of one lifetime whose senders wait at the same time.
    std::size_t mostWaiting = 8;
};

/// Verifies reports of lifetimes that have not answered yet. A report only shows that somebody sent
/// it: it may be late, its sender may belong to another machine, and clocks by which lifetimes
/// could be ordered may be set back. The worker's own address decides who the worker is. For use on
/// the event loop's thread only.
class ReportVerifier final
{
public:
    /// What verification needs of the agent, and what it tells it.
    struct Hooks
    {
        /// Fencing token for calls to the worker.
        std::function<std::uint64_t()> fence;
        /// Whether the present lifetime has that name.
        std::function<bool(std::string_view)> isPresent;
        /// The lifetime of the report has answered at the worker's address.
        std::function<void(const ReportedWorker &)> confirmed;
        /// A worker of the reported name has refused this token.
        std::function<void(std::uint64_t)> fencedOff;
    };

    ReportVerifier(EventLoop &loop, const ReportVerifierSettings &settings, WorkerPort &port,
                   Hooks hooks);
    ~ReportVerifier();
    ReportVerifier(const ReportVerifier &) = delete;
    ReportVerifier &operator=(const ReportVerifier &) = delete;

    /// Asks the worker's address whether the lifetime of the report answers there. `answered` is
    /// called once, within `answerLimit`.
    void verify(const ReportedWorker &report, ReportCallback answered);
    /// Another lifetime is present now, or none: answers to calls from before say nothing any more.
    void presentChanged() { ++m_epoch; }

private:
    /// A lifetime that reports name.
    struct Claim
    {
        ReportedWorker latest;
        Instant reportedAt;
        std::vector<std::pair<std::uint64_t, ReportCallback>> waiting; ///< By number.
        bool isAsked = false;
        EventLoop::TimerId retryTimer = 0; ///< Set while the next call waits for its pause.
    };

    void ask(const Lifetime &lifetime);
    void answered(const Lifetime &lifetime, std::uint64_t fence, std::uint64_t epoch,
                  const WorkerReply &reply);
    /// Handles an answer that does not tell its lifetime.
    void answeredByName(const Lifetime &lifetime, std::uint64_t fence, const WorkerReply &reply);
    void confirm(const Lifetime &lifetime);
    void disprove(const Lifetime &lifetime, const WorkerReply &reply);
    void askAgain(const Lifetime &lifetime);
    /// Makes room for another lifetime.
    void dropOldest();
    /// Tells the sender of one report that it could not be verified in time.
    void giveUp(const Lifetime &lifetime, std::uint64_t number);
    static void logUnverified(const Lifetime &lifetime, std::string_view reason);
    /// Takes the claim out and answers all reports of it that still wait.
    void close(std::map<Lifetime, Claim>::iterator claim, ReportAnswer answer);

    EventLoop &m_loop;
    ReportVerifierSettings m_settings;
    WorkerPort &m_port;
    Hooks m_hooks;
    std::map<Lifetime, Claim> m_claims;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_lastNumber = 0;
    /// Calls to the worker and timers may end after this object.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace guavashift
