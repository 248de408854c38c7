#include "DispatcherFixture.h"

using namespace guavashift;

/// Tests of runs whose start may still be carried out after their worker is gone.
class LostWorkerHoldTest : public DispatcherFixture
{
    CPPUNIT_TEST_SUITE(LostWorkerHoldTest);
    CPPUNIT_TEST(startsAJobWhoseWorkerIsGone);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a run whose worker is gone and that stays bound for longer than its lease.
    void startsAJobWhoseWorkerIsGone()
    {
        constexpr int calmMs = 14'000;
        constexpr int longestIdleMs = 3000;
        constexpr int stepMs = 50;
        addWorkers(3);
        for (int i = 1; i <= 3; ++i)
            m_dispatcher->startsMayArriveLate({fmt::format("w{}", i), 1}, {}, true);
        accept("j", plan(1, 8000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        const std::string gone = m_jobTable->find(m_firstTask)->lifetime.worker;
        m_dispatcher->nodeLost("n" + gone.substr(1));
        for (int now = stepMs; now <= calmMs + longestIdleMs; now += stepMs) {
            for (int i = 1; i <= 3; ++i)
                (void)m_dispatcher->leaseGranted(fmt::format("n{}", i), at(now));
            decideAndCommit(now);
        }
        CPPUNIT_ASSERT(m_jobTable->find(m_firstTask)->run > 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostWorkerHoldTest);
