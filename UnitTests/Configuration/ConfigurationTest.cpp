#include <Guavashift/Configuration/Configuration.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

Json document()
{
    return {{"teams", {{"t", {{"quota", {{"milliCores", 1'000}}}}}}},
            {"services", {{"s", {{"team", "t"}, {"size", {{"milliCores", 500}}}}}}},
            {"routes", {{{"prefix", "/s"}, {"service", "s"}}}}};
}

std::vector<std::string> placesOf(const Json &json)
{
    const auto read = readDocument(json);
    std::vector<std::string> places;
    if (!read) {
        for (const Finding &finding : read.error())
            places.push_back(finding.place);
    }
    return places;
}

} // namespace

/// Checks of whole documents and of patches.
class ConfigurationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationTest);
    CPPUNIT_TEST(acceptsAValidDocument);
    CPPUNIT_TEST(reportsAllFindingsWithTheirPlaces);
    CPPUNIT_TEST(reportsContradictoryQuotas);
    CPPUNIT_TEST(refusedPatchChangesNothing);
    CPPUNIT_TEST(recognisesAResentPatch);
    CPPUNIT_TEST(refusesAHugePatch);
    CPPUNIT_TEST(findsTheLongestMatchingRoute);
    CPPUNIT_TEST(roundTripsThroughSaveAndLoad);
    CPPUNIT_TEST_SUITE_END();

public:
    void acceptsAValidDocument()
    {
        CPPUNIT_ASSERT(placesOf(document()).empty());
        CPPUNIT_ASSERT(placesOf(Json::object()).empty());
    }

    void reportsAllFindingsWithTheirPlaces()
    {
        Json json = document();
        json["services"]["s"]["replicas"] = -1;
        json["services"]["s"]["colour"] = "red";
        json["services"]["other"] = {{"team", "nobody"}, {"size", 3}};
        json["routes"].push_back({{"prefix", "s"}, {"service", "none"}});
        json["teams"]["bad name"] = {{"quota", {{"milliCores", "many"}}}};
        json["surprise"] = true;
        const std::vector<std::string> expected{"/teams/bad name",
                                                "/teams/bad name/quota/milliCores",
                                                "/services/other/size",
                                                "/services/other/team",
                                                "/services/s/replicas",
                                                "/services/s/colour",
                                                "/routes/1/prefix",
                                                "/routes/1/service",
                                                "/surprise"};
        CPPUNIT_ASSERT(placesOf(json) == expected);
    }

    void reportsContradictoryQuotas()
    {
        Json json = document();
        json["services"]["s"]["replicas"] = 3;
        CPPUNIT_ASSERT(placesOf(json) == std::vector<std::string>{"/teams/t/quota"});
        json = document();
        json["teams"]["t"]["reserved"] = {{"milliCores", 2'000}};
        CPPUNIT_ASSERT(placesOf(json) == std::vector<std::string>{"/teams/t/reserved"});
    }

    void refusedPatchChangesNothing()
    {
        VersionedDocument versions;
        CPPUNIT_ASSERT(accepted(versions.apply({"op", "1", 0, document()}, 1)));
        const Json before = versions.json();
        const PatchOutcome outcome =
            versions.apply({"op", "2", 1, {{"limits", {{"queueLength", 5}}}, {"x", 1}}}, 2);
        CPPUNIT_ASSERT(std::holds_alternative<PatchRefused>(outcome));
        CPPUNIT_ASSERT(versions.json() == before);
        CPPUNIT_ASSERT_EQUAL(ConfigVersion(1), versions.version());
        CPPUNIT_ASSERT(std::holds_alternative<PatchRefused>(
            versions.apply({"op", "3", 1, Json::array({1})}, 2)));
    }

    void recognisesAResentPatch()
    {
        VersionedDocument versions;
        const ConfigPatch patch{"op", "1", 0, document()};
        CPPUNIT_ASSERT(accepted(versions.apply(patch, 1)));
        for (int i = 0; i < 500; ++i) {
            const ConfigPatch next{"op",
                                   "n" + std::to_string(i),
                                   versions.version(),
                                   {{"limits", {{"queueLength", i}}}}};
            CPPUNIT_ASSERT(accepted(versions.apply(next, 2 + i)));
        }
        const PatchOutcome again = versions.apply(patch, 999);
        CPPUNIT_ASSERT(std::get<PatchAccepted>(again).resent);
        CPPUNIT_ASSERT_EQUAL(ConfigVersion(1), std::get<PatchAccepted>(again).version);
        ConfigPatch other = patch;
        other.patch["limits"] = {{"queueLength", 1}};
        CPPUNIT_ASSERT(std::holds_alternative<PatchConflict>(versions.apply(other, 999)));
    }

    void refusesAHugePatch()
    {
        VersionedDocument versions;
        Json patch = document();
        patch["services"]["s"]["team"] = std::string(10 << 20, 'x');
        const PatchOutcome outcome = versions.apply({"op", "1", 0, patch}, 1);
        CPPUNIT_ASSERT(std::holds_alternative<PatchRefused>(outcome));
        CPPUNIT_ASSERT_EQUAL(ConfigVersion(0), versions.version());
    }

    void findsTheLongestMatchingRoute()
    {
        ConfigurationDocument routes;
        for (const char *prefix : {"/", "/quote", "/quote/fast"}) {
            RouteConfig route;
            route.prefix = prefix;
            routes.routes.push_back(route);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("/quote/fast"), routes.findRoute("/quote/fast/1")->prefix);
        CPPUNIT_ASSERT_EQUAL(std::string("/quote"), routes.findRoute("/quote/slow")->prefix);
        CPPUNIT_ASSERT_EQUAL(std::string("/"), routes.findRoute("/quotes")->prefix);
    }

    void roundTripsThroughSaveAndLoad()
    {
        VersionedDocument versions;
        CPPUNIT_ASSERT(accepted(versions.apply({"op", "1", 0, document()}, 1)));
        VersionedDocument loaded;
        loaded.load(versions.save());
        CPPUNIT_ASSERT(loaded.save() == versions.save());
        CPPUNIT_ASSERT(loaded.document().services == versions.document().services);
    }

private:
    static bool accepted(const PatchOutcome &outcome)
    {
        return std::holds_alternative<PatchAccepted>(outcome);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);
