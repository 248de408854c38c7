#include <Guavashift/Stages/Stages.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

tl::expected<QueueTable, Findings> readNone(std::string_view)
{
    return QueueTable(1, {}, {});
}

} // namespace

/// Evacuations in the replicated state.
class EvacuationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EvacuationTest);
    CPPUNIT_TEST(repeatedEvacuationChangesNothing);
    CPPUNIT_TEST(repeatedReturnKeepsItsTime);
    CPPUNIT_TEST(lastOfTwoRacingOperatorsCounts);
    CPPUNIT_TEST(survivesASnapshot);
    CPPUNIT_TEST(loadsASnapshotOfAnEarlierVersion);
    CPPUNIT_TEST(survivesTheLog);
    CPPUNIT_TEST(digestTellsDomainsApart);
    CPPUNIT_TEST(keepsABoundedNumberOfNames);
    CPPUNIT_TEST(forgetsOldReturns);
    CPPUNIT_TEST(refusesNamesThatNoDomainCanHave);
    CPPUNIT_TEST_SUITE_END();

public:
    void repeatedEvacuationChangesNothing()
    {
        CPPUNIT_ASSERT(m_table.apply(1, EvacuateDomain{"north"}).applied);
        CPPUNIT_ASSERT(!m_table.apply(2, EvacuateDomain{"north"}).applied);
        CPPUNIT_ASSERT(m_table.evacuations().contains("north"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_table.evacuations().names().size());
    }

    void repeatedReturnKeepsItsTime()
    {
        CPPUNIT_ASSERT(!m_table.apply(1, TakeBackDomain{"north"}).applied);
        CPPUNIT_ASSERT(!m_table.evacuations().returnedAt("north"));
        m_table.apply(2, EvacuateDomain{"north"});
        CPPUNIT_ASSERT(m_table.apply(50, TakeBackDomain{"north"}).applied);
        CPPUNIT_ASSERT(!m_table.apply(90, TakeBackDomain{"north"}).applied);
        CPPUNIT_ASSERT(WallMs{50} == m_table.evacuations().returnedAt("north"));
        // Evacuated again, it has not returned.
        m_table.apply(100, EvacuateDomain{"north"});
        CPPUNIT_ASSERT(!m_table.evacuations().returnedAt("north"));
    }

    void lastOfTwoRacingOperatorsCounts()
    {
        m_table.apply(1, EvacuateDomain{"north"});
        m_table.apply(1, TakeBackDomain{"north"});
        CPPUNIT_ASSERT(!m_table.evacuations().contains("north"));
        m_table.apply(1, EvacuateDomain{"north"});
        CPPUNIT_ASSERT(m_table.evacuations().contains("north"));
    }

    void survivesASnapshot()
    {
        m_table.apply(1, EvacuateDomain{"north"});
        m_table.apply(2, EvacuateDomain{"south"});
        m_table.apply(30, TakeBackDomain{"south"});
        JobTable loaded(JobTableSettings{}, readNone);
        CPPUNIT_ASSERT(loaded.load(m_table.save()));
        CPPUNIT_ASSERT(loaded.evacuations().names() == m_table.evacuations().names());
        CPPUNIT_ASSERT(loaded.evacuations().returns() == m_table.evacuations().returns());
        CPPUNIT_ASSERT_EQUAL(m_table.digest(), loaded.digest());
        loaded.clear();
        CPPUNIT_ASSERT(loaded.evacuations().names().empty());
    }

    void loadsASnapshotOfAnEarlierVersion()
    {
        Json json = Json::from_cbor(m_table.save());
        constexpr std::size_t partsBefore = 6;
        while (json.size() > partsBefore)
            json.erase(json.size() - 1);
        std::string bytes;
        Json::to_cbor(json, bytes);
        JobTable loaded(JobTableSettings{}, readNone);
        loaded.apply(1, EvacuateDomain{"north"});
        CPPUNIT_ASSERT(loaded.load(bytes));
        CPPUNIT_ASSERT(loaded.evacuations().names().empty());
    }

    void survivesTheLog()
    {
        const StageBatch batch{7, {EvacuateDomain{"a b/ü"}, TakeBackDomain{"north"}}};
        const StageBatch decoded = StageBatch::decode(batch.encode());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decoded.commands.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a b/ü"),
                             std::get<EvacuateDomain>(decoded.commands[0]).domain);
        CPPUNIT_ASSERT_EQUAL(std::string("north"),
                             std::get<TakeBackDomain>(decoded.commands[1]).domain);
    }

    void digestTellsDomainsApart()
    {
        JobTable other(JobTableSettings{}, readNone);
        m_table.apply(1, EvacuateDomain{"north"});
        other.apply(1, EvacuateDomain{"south"});
        CPPUNIT_ASSERT(m_table.digest() != other.digest());
    }

    void keepsABoundedNumberOfNames()
    {
        EvacuatedDomains domains({3, 2, 1000});
        for (const char *name : {"a", "b", "c"})
            CPPUNIT_ASSERT(domains.evacuate(name));
        CPPUNIT_ASSERT(!domains.evacuate("d"));
        CPPUNIT_ASSERT(domains.evacuate("a"));
        CPPUNIT_ASSERT(domains.takeBack("b", 1));
        CPPUNIT_ASSERT(domains.takeBack("a", 2));
        CPPUNIT_ASSERT(domains.takeBack("c", 3));
        CPPUNIT_ASSERT(!domains.returnedAt("b"));
        CPPUNIT_ASSERT(domains.returnedAt("a") && domains.returnedAt("c"));
    }

    void forgetsOldReturns()
    {
        EvacuatedDomains domains({3, 3, 1000});
        domains.evacuate("a");
        domains.takeBack("a", 10);
        domains.removeExpired(1010);
        CPPUNIT_ASSERT(domains.returnedAt("a"));
        domains.removeExpired(1011);
        CPPUNIT_ASSERT(!domains.returnedAt("a"));
    }

    void refusesNamesThatNoDomainCanHave()
    {
        for (const char *name : {"north", "a b", "eu-west.1", "ü", "%41"})
            CPPUNIT_ASSERT_MESSAGE(name, EvacuatedDomains::isName(name));
        CPPUNIT_ASSERT(EvacuatedDomains::isName(std::string(128, 'x')));
        for (const std::string &name :
             {std::string(), std::string(129, 'x'), std::string("a/b"), std::string("a\nb"),
              std::string("a\x7f"), std::string(1, '\0'), std::string("\xff\xfe"),
              std::string("\xc3")}) {
            CPPUNIT_ASSERT(!EvacuatedDomains::isName(name));
            CPPUNIT_ASSERT(!m_table.apply(1, EvacuateDomain{name}).applied);
        }
        CPPUNIT_ASSERT(m_table.evacuations().names().empty());
    }

private:
    JobTable m_table{JobTableSettings{}, readNone};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);
