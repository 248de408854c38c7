#include <UnitTests/Fleet/FakeWorker.h>

namespace guavashift {

FakeWorker::FakeWorker(EventLoop &loop, std::string id, std::int64_t born)
    : m_loop(loop)
    , m_id(std::move(id))
    , m_born(born)
    , m_startedAt(BootClock::now() - std::chrono::seconds(10))
{
}

WorkerFacts FakeWorker::facts() const
{
    WorkerFacts facts;
    facts.lifetime = {m_id, m_born};
    facts.service = "orders";
    facts.zone = m_zone;
    facts.capacity = {16'000, 32'000, 0};
    facts.labels = {"a", "r1"};
    return facts;
}

std::int64_t FakeWorker::clockMs() const
{
    return toMs(BootClock::now() - m_startedAt);
}

WorkerReply FakeWorker::reply(WorkerCallResult result) const
{
    WorkerReply reply;
    reply.result = result;
    reply.born = m_born;
    reply.clockMs = clockMs();
    reply.connection = connection();
    return reply;
}

bool FakeWorker::acceptFence(std::uint64_t fence)
{
    expire();
    if (fence < m_fence)
        return false;
    m_fence = fence;
    return true;
}

void FakeWorker::expire()
{
    if (clockMs() <= m_untilMs)
        return;
    while (!m_running.empty())
        end(m_running.begin()->first, RunEnd::Lapsed);
}

void FakeWorker::end(const Key &key, RunEnd result)
{
    const Key ended = key;
    m_running.erase(ended);
    if (result == RunEnd::Done)
        m_done.insert(ended.first);
    if (++m_ends > m_acknowledgedUpTo || !m_keepsAcknowledgements)
        m_listed.push_back({m_ends, {ended.first, ended.second, result, {}}});
}

void FakeWorker::finishAll(RunEnd result)
{
    while (!m_running.empty())
        end(m_running.begin()->first, result);
}

void FakeWorker::crash()
{
    if (m_failsWith)
        return;
    ++m_crashes;
    beginLifetime();
    m_failsWith = WorkerCallResult::ConnectionRefused;
    m_loop.after(downtime, [this] {
        m_failsWith.reset();
        m_startedAt = BootClock::now();
        if (m_restarted)
            m_restarted();
    });
}

WorkerConnection FakeWorker::connection() const
{
    constexpr WorkerConnection maxEpochs = 1000;
    return static_cast<WorkerConnection>(m_born) * maxEpochs
        + static_cast<WorkerConnection>(m_connectionEpoch);
}

bool FakeWorker::reaches(const WorkerConnections &connections) const
{
    return !connections
        || std::find(connections->begin(), connections->end(), connection()) != connections->end();
}

void FakeWorker::notSent(const Callback &callback)
{
    WorkerReply notSent;
    notSent.result = WorkerCallResult::NotSent;
    m_loop.after(Duration::zero(), [callback, notSent] { callback(notSent); });
}

void FakeWorker::beginLifetime()
{
    m_born += m_birthStep;
    m_running.clear();
    m_listed.clear();
    m_highestRun.clear();
    m_fence = 0;
    m_untilMs = 0;
    m_ends = 0;
    m_acknowledgedUpTo = 0;
}

void FakeWorker::restart()
{
    beginLifetime();
    m_startedAt = BootClock::now();
}

void FakeWorker::poll(const PollRequest &request, Callback callback)
{
    ++m_polls;
    if (m_failsWith)
        return fail(callback);
    if (!reaches(request.connections))
        return notSent(callback);
    const Instant now = BootClock::now();
    if (!m_listed.empty() && request.seenUpTo <= m_acknowledgedUpTo && m_polledAt != Instant()) {
        const Duration since = now - m_polledAt;
        m_shortestIdlePoll = std::min(m_shortestIdlePoll.value_or(since), since);
    }
    m_polledAt = now;
    if (!acceptFence(request.fence))
        return callback(reply(WorkerCallResult::FencedOff));
    m_untilMs = std::max(m_untilMs, request.untilMs);
    m_acknowledgedUpTo = std::max(m_acknowledgedUpTo, request.seenUpTo);
    std::erase_if(m_listed, [&](const ListedEnd &each) { return each.number <= request.seenUpTo; });
    answerPoll(now + request.wait, callback);
}

void FakeWorker::answerPoll(Instant waitsUntil, const Callback &callback)
{
    // Checks for ends at a short interval instead of waiting for them.
    constexpr Duration checkInterval = std::chrono::milliseconds(5);
    m_loop.after(checkInterval,
                 [this, waitsUntil, callback, epoch = m_connectionEpoch, born = m_born] {
                     if (epoch != m_connectionEpoch)
                         return;
                     if (born != m_born)
                         return callback(WorkerReply{});
                     for (const auto &[key, endsAt] : std::map<Key, Instant>(m_running)) {
                         if (BootClock::now() >= endsAt)
                             end(key, RunEnd::Done);
                     }
                     if (m_ignoresPolls)
                         return callback(WorkerReply{});
                     if (m_listed.empty() && BootClock::now() < waitsUntil)
                         return answerPoll(waitsUntil, callback);
                     WorkerReply answer = reply(WorkerCallResult::Done);
                     for (const auto &[key, endsAt] : m_running)
                         answer.running.push_back({key.first, key.second, {}, 100, 0});
                     answer.ended = m_listed;
                     if (m_listed.size() > m_endsPerList)
                         answer.ended.resize(m_endsPerList);
                     answer.listsAllEnds = answer.ended.size() < m_endsPerList;
                     callback(answer);
                 });
}

void FakeWorker::fail(const Callback &callback)
{
    constexpr Duration delay = std::chrono::milliseconds(50);
    WorkerReply failed;
    failed.result = *m_failsWith;
    m_loop.after(delay, [callback, failed] { callback(failed); });
}

void FakeWorker::probe(const ProbeRequest &request, Callback callback)
{
    if (m_failsWith)
        return fail(callback);
    if (request.worker != m_id)
        return callback(reply(WorkerCallResult::OtherLifetime));
    callback(
        reply(acceptFence(request.fence) ? WorkerCallResult::Done : WorkerCallResult::FencedOff));
}

void FakeWorker::start(const StartRequest &request, Callback callback)
{
    if (m_failsWith)
        return fail(callback);
    if (m_startsToDrop > 0) {
        --m_startsToDrop;
        return callback(WorkerReply{});
    }
    if (!reaches(request.connections))
        return notSent(callback);
    const Key key{request.order.traits.task, request.order.traits.run};
    if (!acceptFence(request.fence))
        return callback(reply(WorkerCallResult::FencedOff));
    if (key.second <= m_highestRun[key.first])
        return callback(reply(WorkerCallResult::TooOld));
    if (request.untilMs <= clockMs())
        return callback(reply(WorkerCallResult::TooLate));
    m_untilMs = std::max(m_untilMs, request.untilMs);
    for (const auto &[other, endsAt] : m_running)
        m_sawDuplicateRun = m_sawDuplicateRun || other.first == key.first;
    m_sawDuplicateRun = m_sawDuplicateRun || m_done.contains(key.first);
    m_highestRun[key.first] = key.second;
    ++m_starts[key.first];
    m_running.emplace(key, BootClock::now() + m_taskTime);
    callback(reply(WorkerCallResult::Done));
    if (key.first.job == m_deadlyJob)
        m_loop.after(crashDelay, [this] { crash(); });
}

void FakeWorker::stop(const StopRequest &request, Callback callback)
{
    if (m_failsWith)
        return fail(callback);
    if (!acceptFence(request.fence))
        return callback(reply(WorkerCallResult::FencedOff));
    const Key key{request.order.task, request.order.run};
    m_highestRun[key.first] = std::max(m_highestRun[key.first], key.second);
    if (m_running.contains(key))
        end(key, RunEnd::Stopped);
    callback(reply(WorkerCallResult::Done));
}

void FakeWorker::throttle(const ThrottleRequest &request, Callback callback)
{
    if (m_failsWith)
        return fail(callback);
    callback(
        reply(acceptFence(request.fence) ? WorkerCallResult::Done : WorkerCallResult::FencedOff));
}

} // namespace guavashift
