#include <Guavashift/Scheduling/Scheduling.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace guavashift {

/// Callers that are refused at the same moment, as after an outage of the leader.
class RetryAdviceTest final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryAdviceTest);
    CPPUNIT_TEST(spreadsCallersRefusedTogether);
    CPPUNIT_TEST(staysWithinCallersTime);
    CPPUNIT_TEST(neverAdvisesAnEarlierReturnThanExpected);
    CPPUNIT_TEST(repeatsItsAdvice);
    CPPUNIT_TEST_SUITE_END();

    RetryAdvice m_advice{RetryAdviceSettings{}};

    void spreadsCallersRefusedTogether()
    {
        std::map<std::int64_t, int> returns;
        constexpr int callers = 1000;
        for (int i = 0; i < callers; ++i)
            ++returns[m_advice.seconds(fmt::format("r{}", i), std::chrono::seconds(4), {})];
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, returns.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, returns.begin()->first);
        for (const auto &[second, count] : returns)
            CPPUNIT_ASSERT(count < callers / 2);
    }

    void staysWithinCallersTime()
    {
        for (int i = 0; i < 100; ++i) {
            const std::int64_t seconds = m_advice.seconds(
                fmt::format("r{}", i), std::chrono::seconds(1), std::chrono::milliseconds(1900));
            CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, seconds);
        }
    }

    void neverAdvisesAnEarlierReturnThanExpected()
    {
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT(m_advice.seconds(fmt::format("r{}", i), std::chrono::milliseconds(6100),
                                            std::chrono::seconds(3))
                           >= 7);
    }

    void repeatsItsAdvice()
    {
        CPPUNIT_ASSERT_EQUAL(m_advice.seconds("r", std::chrono::seconds(9), {}),
                             m_advice.seconds("r", std::chrono::seconds(9), {}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryAdviceTest);

} // namespace guavashift
