#include <Guavashift/Configuration/Configuration.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>

using namespace guavashift;

/// The example configurations are valid.
class ExamplesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExamplesTest);
    CPPUNIT_TEST(examplesAreValid);
    CPPUNIT_TEST_SUITE_END();

public:
    void examplesAreValid()
    {
        for (const char *name :
             {"demo.json", "wanjiru/configuration.json", "rangkai/configuration.json"}) {
            std::ifstream stream(std::string(GUAVASHIFT_EXAMPLES) + "/" + name);
            const Json json = Json::parse(stream, nullptr, false);
            CPPUNIT_ASSERT(!json.is_discarded());
            const auto document = readDocument(json);
            CPPUNIT_ASSERT_EQUAL(std::string(),
                                 document ? std::string() : describe(document.error()));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExamplesTest);
