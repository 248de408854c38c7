#include <Guavashift/Settings/Settings.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

SettingsResult read(std::vector<const char *> arguments)
{
    arguments.insert(arguments.begin(), "guavashiftd");
    return readDaemonSettings(static_cast<int>(arguments.size()), arguments.data(),
                              {"agent", "control", "entry"});
}

} // namespace

/// Tests reading and checking settings from flags and the environment.
class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(readsValidSettings);
    CPPUNIT_TEST(reportsAllErrorsTogether);
    CPPUNIT_TEST(readsTheEnvironment);
    CPPUNIT_TEST(handlesFlagsThatStartNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsValidSettings()
    {
        const auto result =
            read({"--role", "entry", "--vm", "e1", "--failure-domain", "d", "--control-address",
                  "127.0.0.1:1", "--entry-listen", "127.0.0.1:80"});
        CPPUNIT_ASSERT(std::holds_alternative<RunDaemon>(result));
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), std::get<RunDaemon>(result).settings.vm);
    }

    void reportsAllErrorsTogether()
    {
        const auto result =
            read({"--role", "agent", "--role", "cook", "--vm", "bad name", "--control-address",
                  "localhost:1", "--capacity-milli-cores", "lots", "--wrong-flag"});
        const auto &findings = std::get<InvalidSettings>(result).findings;
        std::vector<std::string> places;
        for (const Finding &finding : findings)
            places.push_back(finding.place);
        const std::vector<std::string> expected{"--wrong-flag",
                                                "--role",
                                                "--vm",
                                                "--failure-domain",
                                                "--control-address",
                                                "--agent-listen",
                                                "--agent-rpc-listen",
                                                "--platform-address",
                                                "--capacity-milli-cores",
                                                "--capacity-memory-mb",
                                                "--rack"};
        CPPUNIT_ASSERT(places == expected);
    }

    void readsTheEnvironment()
    {
        ::setenv("GUAVASHIFT_VM", "from-environment", 1);
        const auto result = read({"--role", "entry", "--failure-domain", "d", "--control-address",
                                  "127.0.0.1:1", "--entry-listen", "127.0.0.1:80"});
        ::unsetenv("GUAVASHIFT_VM");
        CPPUNIT_ASSERT_EQUAL(std::string("from-environment"),
                             std::get<RunDaemon>(result).settings.vm);
    }

    void handlesFlagsThatStartNothing()
    {
        CPPUNIT_ASSERT(std::holds_alternative<PrintAndExit>(read({"--version"})));
        CPPUNIT_ASSERT(std::holds_alternative<PrintAndExit>(read({"--help"})));
        CPPUNIT_ASSERT(std::holds_alternative<InvalidSettings>(read({"--check-settings"})));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
