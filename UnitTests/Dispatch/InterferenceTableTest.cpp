#include <Guavashift/Dispatch/Dispatch.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// Tests of the interference learned for pairs of images.
class InterferenceTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(InterferenceTableTest);
    CPPUNIT_TEST(separatesInterferingFromHarmlessImages);
    CPPUNIT_TEST(startsFromAdoptedInterference);
    CPPUNIT_TEST_SUITE_END();

public:
    void separatesInterferingFromHarmlessImages()
    {
        InterferenceTable table;
        const double unknown = table.interference("server", "press");
        // The activity of both images changes at different times; only "press" costs headroom.
        for (int i = 0; i < 40; ++i) {
            const double press = i % 2 == 0 ? 0.1 : 0;
            const double feather = i % 3 == 0 ? 0.2 : 0;
            const double pressBefore = i % 2 == 0 ? 0 : 0.1;
            const double featherBefore = i % 3 == 1 ? 0.2 : 0;
            const double noise = (i % 5 - 2) * 0.05;
            table.observe("server", {{"press", pressBefore}, {"feather", featherBefore}},
                          {{"press", press}, {"feather", feather}}, 3,
                          3 - 7 * (press - pressBefore) + noise);
        }
        table.solve();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(7, table.interference("server", "press"), 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, table.interference("server", "feather"), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(unknown, table.interference("server", "other"), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.7, table.total("server", {{"press", 0.1}}), 0.1);
    }

    void startsFromAdoptedInterference()
    {
        InterferenceTable table;
        CPPUNIT_ASSERT(!table.isKnown("server", "press"));
        table.adopt("server", "press", 8);
        CPPUNIT_ASSERT(table.isKnown("server", "press"));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(8, table.interference("server", "press"), 0.01);
        // One small, noisy observation changes the adopted value little; clear ones replace it.
        table.observe("server", {}, {{"press", 0.02}}, 3, 3.1);
        table.solve();
        CPPUNIT_ASSERT(table.interference("server", "press") > 6);
        for (int i = 0; i < 40; ++i)
            table.observe("server", {{"press", i % 2 * 0.2}}, {{"press", (1 - i % 2) * 0.2}}, 3, 3);
        table.solve();
        CPPUNIT_ASSERT(table.interference("server", "press") < 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InterferenceTableTest);
