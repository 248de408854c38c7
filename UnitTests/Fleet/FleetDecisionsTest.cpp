#include <Guavashift/Fleet/FleetDecisions.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// Names of decisions as operators set them.
class FleetDecisionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetDecisionsTest);
    CPPUNIT_TEST(nothingIsOnUnlessNamed);
    CPPUNIT_TEST(turnsOnWhatIsNamed);
    CPPUNIT_TEST(reportsEachUnknownName);
    CPPUNIT_TEST_SUITE_END();

public:
    void nothingIsOnUnlessNamed()
    {
        CPPUNIT_ASSERT(FleetDecisions{} == *FleetDecisions::parse("", "D"));
    }

    void turnsOnWhatIsNamed()
    {
        const FleetDecisions wanted = *FleetDecisions::parse("near-places,worker-speed", "D");
        CPPUNIT_ASSERT(wanted.nearPlaces && wanted.workerSpeed);
        CPPUNIT_ASSERT(!wanted.overloadOrder && !wanted.lateRefusals);
    }

    void reportsEachUnknownName()
    {
        const auto wanted = FleetDecisions::parse("near-place,worker-speed,,x", "D");
        CPPUNIT_ASSERT(!wanted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, wanted.error().size());
        CPPUNIT_ASSERT_EQUAL(std::string("D"), wanted.error()[0].place);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetDecisionsTest);
