#include <Guavashift/Fleet/StateSupply.h>

#include <cppunit/extensions/HelperMacros.h>

#include <array>

using namespace guavashift;

namespace {

Instant at(int milliseconds)
{
    return Instant(std::chrono::seconds(1000) + std::chrono::milliseconds(milliseconds));
}

const std::array<std::string, 2> others{"b:1", "c:1"};

} // namespace

/// How a replica whose state must not be used gets that of another one.
class StateRecoveryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StateRecoveryTest);
    CPPUNIT_TEST(fetchesALargeStateInParts);
    CPPUNIT_TEST(asksAnotherReplicaIfOneIsSilent);
    CPPUNIT_TEST(beginsAgainWhenTheCopyChanges);
    CPPUNIT_TEST(pausesBeforeFurtherRecoveries);
    CPPUNIT_TEST(asksAnotherReplicaIfACopyIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_recovery.emplace(StateRecoverySettings{}); }

    void fetchesALargeStateInParts()
    {
        const std::string state = std::string(600'000, 'x') + "end";
        StateSupply supply;
        int copies = 0;
        m_recovery->begin(at(0));
        int now = 0;
        while (m_recovery->copy() == nullptr) {
            const auto request = m_recovery->nextRequest(at(++now), others);
            CPPUNIT_ASSERT(request);
            CPPUNIT_ASSERT_EQUAL(others[0], request->address);
            const auto makeCopy = [&] {
                ++copies;
                return StateCopy{70, 2, state};
            };
            m_recovery->receive(
                at(now),
                supply.answer(at(now), {"a:1", request->index, request->offset}, makeCopy));
        }
        CPPUNIT_ASSERT_EQUAL(3, now);
        CPPUNIT_ASSERT_EQUAL(1, copies);
        CPPUNIT_ASSERT(state == m_recovery->copy()->data);
        CPPUNIT_ASSERT_EQUAL(LogIndex{70}, m_recovery->copy()->index);
        CPPUNIT_ASSERT_EQUAL(Term{2}, m_recovery->copy()->term);
    }

    /// Guards against a replica that waits for good for one that does not answer.
    void asksAnotherReplicaIfOneIsSilent()
    {
        m_recovery->begin(at(0));
        CPPUNIT_ASSERT_EQUAL(others[0], m_recovery->nextRequest(at(0), others)->address);
        m_recovery->receive(at(1), {70, 2, 0, 10, "half "});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, m_recovery->nextRequest(at(1), others)->offset);
        CPPUNIT_ASSERT(!m_recovery->nextRequest(at(2), others));
        const auto next = m_recovery->nextRequest(at(1100), others);
        CPPUNIT_ASSERT_EQUAL(others[1], next->address);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, next->offset);
        CPPUNIT_ASSERT_EQUAL(others[0], m_recovery->nextRequest(at(2200), others)->address);
    }

    /// Guards against a state that is put together from two copies.
    void beginsAgainWhenTheCopyChanges()
    {
        m_recovery->begin(at(0));
        m_recovery->receive(at(1), {70, 2, 0, 10, "half "});
        m_recovery->receive(at(2), {71, 2, 5, 10, "other"});
        CPPUNIT_ASSERT(m_recovery->copy() == nullptr);
        m_recovery->receive(at(3), {71, 2, 0, 5, "whole"});
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), m_recovery->copy()->data);
        CPPUNIT_ASSERT_EQUAL(LogIndex{71}, m_recovery->copy()->index);
    }

    /// Guards against a replica that applies commands in another way, and loads others with
    /// requests for their state all the time.
    void pausesBeforeFurtherRecoveries()
    {
        m_recovery->begin(at(0));
        CPPUNIT_ASSERT(m_recovery->nextRequest(at(0), others));
        m_recovery->end(at(100));
        CPPUNIT_ASSERT(!m_recovery->nextRequest(at(150), others));
        m_recovery->begin(at(200));
        CPPUNIT_ASSERT(!m_recovery->nextRequest(at(1199), others));
        CPPUNIT_ASSERT(m_recovery->nextRequest(at(1200), others));
        m_recovery->end(at(1300));
        m_recovery->begin(at(1400));
        CPPUNIT_ASSERT(!m_recovery->nextRequest(at(3399), others));
        CPPUNIT_ASSERT(m_recovery->nextRequest(at(3400), others));
        m_recovery->end(at(3500));
        m_recovery->begin(at(63'500));
        CPPUNIT_ASSERT(m_recovery->nextRequest(at(63'500), others));
    }

    void asksAnotherReplicaIfACopyIsRejected()
    {
        m_recovery->begin(at(0));
        CPPUNIT_ASSERT_EQUAL(others[0], m_recovery->nextRequest(at(0), others)->address);
        m_recovery->receive(at(1), {70, 2, 0, 5, "whole"});
        CPPUNIT_ASSERT(m_recovery->copy() != nullptr);
        m_recovery->rejectCopy(at(2));
        CPPUNIT_ASSERT(m_recovery->copy() == nullptr);
        CPPUNIT_ASSERT(!m_recovery->nextRequest(at(1001), others));
        CPPUNIT_ASSERT_EQUAL(others[1], m_recovery->nextRequest(at(1002), others)->address);
    }

private:
    std::optional<StateRecovery> m_recovery;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateRecoveryTest);
