#include <Guavashift/Consensus/Replica.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <array>
#include <deque>

using namespace guavashift;

namespace {

/// Time after which the fleet serves again, `recovery_s` of the deployments.
constexpr Duration recoveryLimit = std::chrono::seconds(12);
constexpr Duration stepTime = std::chrono::milliseconds(5);
constexpr Instant start(std::chrono::seconds(1000));
constexpr std::size_t running = 2;

/// Two of three voters, each on a thread that does nothing else while its disk syncs, as the
/// processes of a fleet do. The third voter is down. Links take one step and lose nothing.
class SlowPair
{
public:
    SlowPair(std::uint64_t seed, std::array<Duration, running> syncTimes)
        : m_syncTimes(syncTimes)
    {
        Membership membership;
        for (const char *id : {"a", "b", "c"})
            membership.members.push_back({ReplicaId{id}, id, {}, FailureDomain{}, true});
        for (std::size_t i = 0; i < running; ++i) {
            PersistentState state;
            state.hardState = {1, {}};
            state.entries = {{1, 1, EntryKind::Membership, Json(membership).dump()}};
            m_replicas.emplace_back(ReplicaSettings{}, membership.members[i].id, state, seed + i,
                                    m_now);
        }
    }

    void step()
    {
        m_now += stepTime;
        for (std::size_t i = 0; i < running; ++i)
            work(i);
    }

    [[nodiscard]] Duration elapsed() const { return m_now - start; }

    [[nodiscard]] bool someoneLeads() const
    {
        return std::any_of(m_replicas.begin(), m_replicas.end(),
                           [this](const Replica &each) { return each.hasLease(m_now); });
    }

private:
    struct Sent
    {
        Instant at;
        Envelope envelope;
    };

    void work(std::size_t number)
    {
        if (m_now < m_busyUntil[number])
            return;
        Replica &replica = m_replicas[number];
        if (m_isSyncing[number]) {
            m_isSyncing[number] = false;
            replica.synced(m_now);
            send(number, m_afterSync[number], true);
            m_afterSync[number].clear();
        }
        std::deque<Sent> &inbox = m_inboxes[number];
        while (!inbox.empty() && inbox.front().at <= m_now) {
            replica.receive(m_now, inbox.front().envelope);
            inbox.pop_front();
        }
        replica.tick(m_now);
        std::vector<Effect> effects = replica.takeEffects();
        send(number, effects, false);
        const bool stores = std::any_of(effects.begin(), effects.end(), [](const Effect &effect) {
            return std::holds_alternative<SaveHardState>(effect)
                || std::holds_alternative<AppendToLog>(effect)
                || std::holds_alternative<TruncateLog>(effect);
        });
        if (!stores)
            return send(number, effects, true);
        m_isSyncing[number] = true;
        m_busyUntil[number] = m_now + m_syncTimes[number];
        std::erase_if(effects, [](const Effect &effect) {
            const auto *message = std::get_if<SendMessage>(&effect);
            return message != nullptr && !message->afterSync;
        });
        m_afterSync[number] = std::move(effects);
    }

    void send(std::size_t from, const std::vector<Effect> &effects, bool afterSync)
    {
        for (const Effect &effect : effects) {
            const auto *message = std::get_if<SendMessage>(&effect);
            if (message == nullptr || message->afterSync != afterSync)
                continue;
            const std::size_t to = 1 - from;
            if (message->envelope.to == m_replicas[to].id())
                m_inboxes[to].push_back({m_now + stepTime, message->envelope});
        }
    }

    std::array<Duration, running> m_syncTimes;
    Instant m_now = start;
    std::vector<Replica> m_replicas;
    std::array<std::deque<Sent>, running> m_inboxes;
    std::array<std::vector<Effect>, running> m_afterSync;
    std::array<Instant, running> m_busyUntil{};
    std::array<bool, running> m_isSyncing{};
};

} // namespace

/// Elections of voters whose disks take long to store a vote, on a virtual clock.
class SlowSyncTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlowSyncTest);
    CPPUNIT_TEST(electsALeaderWithFastDisks);
    CPPUNIT_TEST(electsALeaderWhileOneDiskOutlastsTheElectionTimeout);
    CPPUNIT_TEST_SUITE_END();

public:
    void electsALeaderWithFastDisks() { assertElects({ms(6), ms(6)}); }

    /// Guards against elections without end: a candidate whose own vote, or the vote of the other,
    /// is stored later than its election timeout drops it and begins again.
    void electsALeaderWhileOneDiskOutlastsTheElectionTimeout() { assertElects({ms(6), ms(1500)}); }

private:
    static Duration ms(int milliseconds) { return std::chrono::milliseconds(milliseconds); }

    static void assertElects(std::array<Duration, running> syncTimes)
    {
        constexpr std::uint64_t seeds = 50;
        std::string without;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            SlowPair pair(seed, syncTimes);
            while (!pair.someoneLeads() && pair.elapsed() < recoveryLimit)
                pair.step();
            if (!pair.someoneLeads())
                without += fmt::format(" {}", seed);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seeds without a leader", std::string(), without);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowSyncTest);
