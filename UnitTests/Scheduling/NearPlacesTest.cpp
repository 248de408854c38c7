#include <Guavashift/Scheduling/Scheduling.h>

#include <cppunit/extensions/HelperMacros.h>

namespace guavashift {

/// Waits for near places under named loads. Times are in milliseconds, and a far place takes half
/// as long again.
class NearPlacesTest final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NearPlacesTest);
    CPPUNIT_TEST(waitsOnRackThatFreesRoomFast);
    CPPUNIT_TEST(hotRackTakesOnlyTheFirstInLine);
    CPPUNIT_TEST(takesFarPlaceWhileRackIsFullOfLongRuns);
    CPPUNIT_TEST(rackWithoutEndsIsNotWaitedFor);
    CPPUNIT_TEST(rackThatEmptiesIsWaitedForAtOnce);
    CPPUNIT_TEST(ratesFadeOnRackThatCameToAStop);
    CPPUNIT_TEST(estimatesOffByNineTenthsKeepWaitsShort);
    CPPUNIT_TEST(shortTaskDoesNotWait);
    CPPUNIT_TEST(taskWithLittleSlackTakesFarPlace);
    CPPUNIT_TEST(lateTaskWaitsOnlyForGain);
    CPPUNIT_TEST(waitEndsByItsOwnBound);
    CPPUNIT_TEST(waitsThatTurnOutWrongBecomeRare);
    CPPUNIT_TEST(forgottenWaitIsReported);
    CPPUNIT_TEST(reportsEachOutcomeOnce);
    CPPUNIT_TEST(groupStartsOnRackThatTakesAll);
    CPPUNIT_TEST(groupWaitsForRackThatTakesAllSoon);
    CPPUNIT_TEST(groupLargerThanAnyRackSpreads);
    CPPUNIT_TEST(groupSpreadsWhenAllRacksAreFull);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Resources taskSize{1000, 1000, 0};
    static constexpr std::int64_t ampleSlack = 60'000;

    NearPlaces m_places{NearPlacesSettings()};
    Instant m_now = Instant() + std::chrono::seconds(100);

    static Duration ms(std::int64_t count) { return std::chrono::milliseconds(count); }
    static TaskRef task(std::uint32_t number) { return {"job", 0, 0, number}; }

    /// Runs end on the rack for a while, one each `interval`.
    void endRuns(const std::string &rack, std::int64_t interval, int count)
    {
        for (int i = 0; i < count; ++i) {
            m_now += ms(interval);
            m_places.ended(rack, taskSize, m_now);
        }
        m_places.beginRound(m_now);
    }

    bool waits(std::uint32_t number, std::int64_t work, std::int64_t slack = ampleSlack)
    {
        return m_places.waits(task(number), "r1", taskSize, ms(work), ms(slack), m_now);
    }

    void pass(std::int64_t time)
    {
        m_now += ms(time);
        m_places.beginRound(m_now);
    }

    GroupChoice chooseRack(std::uint32_t members, const std::vector<RackRoom> &rooms)
    {
        return m_places.chooseRack(task(0), members, taskSize, ms(4000), ms(ampleSlack), rooms,
                                   m_now);
    }

    void waitsOnRackThatFreesRoomFast()
    {
        endRuns("r1", 20, 300);
        CPPUNIT_ASSERT(waits(0, 2000));
    }

    /// Many tasks want one rack at once: those at the end of the line take far places.
    void hotRackTakesOnlyTheFirstInLine()
    {
        endRuns("r1", 50, 300);
        std::uint32_t waiting = 0;
        while (waiting < 100 && waits(waiting, 2000))
            ++waiting;
        // The wait of each may last half a second, in which ten runs end.
        CPPUNIT_ASSERT(waiting >= 5);
        CPPUNIT_ASSERT(waiting <= 10);
        // The line is the same in the next round.
        pass(10);
        for (std::uint32_t i = 0; i < waiting; ++i)
            CPPUNIT_ASSERT(waits(i, 2000));
        CPPUNIT_ASSERT(!waits(waiting, 2000));
    }

    void takesFarPlaceWhileRackIsFullOfLongRuns()
    {
        endRuns("r1", 3000, 20);
        CPPUNIT_ASSERT(!waits(0, 2000));
    }

    void rackWithoutEndsIsNotWaitedFor()
    {
        endRuns("r2", 20, 300);
        CPPUNIT_ASSERT(!waits(0, 2000));
    }

    /// A rack of long runs whose runs begin to end.
    void rackThatEmptiesIsWaitedForAtOnce()
    {
        endRuns("r1", 5000, 20);
        CPPUNIT_ASSERT(!waits(0, 4000));
        endRuns("r1", 20, 60);
        CPPUNIT_ASSERT(waits(0, 4000));
    }

    void ratesFadeOnRackThatCameToAStop()
    {
        endRuns("r1", 20, 300);
        pass(30'000);
        CPPUNIT_ASSERT(!waits(0, 4000));
    }

    /// The work is a tenth of the estimate: the wait may cost no more than half of what the
    /// estimate says a far place costs, and never more than a second.
    void estimatesOffByNineTenthsKeepWaitsShort()
    {
        endRuns("r1", 20, 300);
        for (const std::int64_t estimate : {500, 2000, 20'000, 500'000}) {
            const TaskRef asking = task(static_cast<std::uint32_t>(estimate));
            Duration waited = Duration::zero();
            while (m_places.waits(asking, "r1", taskSize, ms(estimate), ms(ampleSlack), m_now)) {
                // The rack goes on as before, yet others get all its room.
                endRuns("r1", 20, 1);
                waited += ms(20);
            }
            m_places.placed(asking, false, m_now);
            CPPUNIT_ASSERT(waited <= ms(estimate / 4));
            CPPUNIT_ASSERT(waited <= ms(1000));
        }
    }

    void shortTaskDoesNotWait()
    {
        endRuns("r1", 20, 300);
        CPPUNIT_ASSERT(!waits(0, 50));
    }

    /// In time on a far place, but not after the wait and a far place.
    void taskWithLittleSlackTakesFarPlace()
    {
        endRuns("r1", 100, 100);
        CPPUNIT_ASSERT(!waits(0, 2000, 1050));
        CPPUNIT_ASSERT(waits(0, 2000, 1500));
    }

    void lateTaskWaitsOnlyForGain()
    {
        endRuns("r1", 100, 100);
        CPPUNIT_ASSERT(waits(0, 2000, -5000));
        CPPUNIT_ASSERT(!waits(1, 200, -5000));
    }

    /// No event ends the wait: each round asks again, and one of them says no.
    void waitEndsByItsOwnBound()
    {
        endRuns("r1", 5, 2000);
        const Instant begin = m_now;
        while (waits(0, 100'000)) {
            CPPUNIT_ASSERT(m_now - begin <= ms(1000));
            endRuns("r1", 5, 1);
        }
    }

    /// Others take all the room that comes free: tasks stop waiting for it.
    void waitsThatTurnOutWrongBecomeRare()
    {
        endRuns("r1", 100, 100);
        std::uint32_t begun = 0;
        for (std::uint32_t i = 0; i < 50; ++i) {
            if (waits(i, 2000))
                ++begun;
            while (waits(i, 2000))
                endRuns("r1", 100, 1);
            m_places.placed(task(i), false, m_now);
        }
        CPPUNIT_ASSERT(begun > 0);
        CPPUNIT_ASSERT(begun < 10);
    }

    void forgottenWaitIsReported()
    {
        endRuns("r1", 20, 300);
        CPPUNIT_ASSERT(waits(0, 2000));
        pass(2500);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_places.waiting());
        const std::vector<NearWaitEnd> ends = m_places.takeEnds();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        CPPUNIT_ASSERT(ends.front().outcome == NearOutcome::Ended);
    }

    void reportsEachOutcomeOnce()
    {
        endRuns("r1", 20, 300);
        CPPUNIT_ASSERT(waits(0, 2000));
        CPPUNIT_ASSERT(waits(1, 2000));
        pass(60);
        m_places.placed(task(0), true, m_now);
        m_places.placed(task(1), false, m_now);
        m_places.placed(task(2), true, m_now); // Did not wait.
        const std::vector<NearWaitEnd> ends = m_places.takeEnds();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ends.size());
        CPPUNIT_ASSERT(ends[0].outcome == NearOutcome::NearPlace);
        CPPUNIT_ASSERT(ends[0].waited == ms(60));
        CPPUNIT_ASSERT(ends[0].saved == ms(1000));
        CPPUNIT_ASSERT(ends[1].outcome == NearOutcome::GivenUp);
        CPPUNIT_ASSERT(ends[1].saved == Duration::zero());
        CPPUNIT_ASSERT(m_places.takeEnds().empty());
    }

    void groupStartsOnRackThatTakesAll()
    {
        const GroupChoice choice = chooseRack(8, {{"r1", 5, 20}, {"r2", 9, 20}, {"r3", 0, 20}});
        CPPUNIT_ASSERT(!choice.wait);
        CPPUNIT_ASSERT_EQUAL(std::string("r2"), choice.rack);
    }

    /// The rack that lacks least is not the one that frees its room first.
    void groupWaitsForRackThatTakesAllSoon()
    {
        endRuns("r2", 20, 300);
        const GroupChoice choice = chooseRack(8, {{"r1", 7, 20}, {"r2", 4, 20}});
        CPPUNIT_ASSERT(choice.wait);
        CPPUNIT_ASSERT_EQUAL(std::string("r2"), choice.rack);
    }

    void groupLargerThanAnyRackSpreads()
    {
        endRuns("r1", 20, 300);
        const GroupChoice choice = chooseRack(30, {{"r1", 15, 20}, {"r2", 15, 20}});
        CPPUNIT_ASSERT(!choice.wait);
        CPPUNIT_ASSERT(choice.rack.empty());
    }

    void groupSpreadsWhenAllRacksAreFull()
    {
        endRuns("r1", 1000, 30);
        const GroupChoice choice = chooseRack(8, {{"r1", 2, 20}, {"r2", 3, 20}, {"r3", 3, 20}});
        CPPUNIT_ASSERT(!choice.wait);
        CPPUNIT_ASSERT(choice.rack.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NearPlacesTest);

} // namespace guavashift
