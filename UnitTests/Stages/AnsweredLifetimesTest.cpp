#include <Guavashift/Stages/Stages.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// Where lifetimes with bound runs have answered.
class AnsweredLifetimesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnsweredLifetimesTest);
    CPPUNIT_TEST(holdsLifetimesWithBoundRunsOnly);
    CPPUNIT_TEST(ordersAnswers);
    CPPUNIT_TEST(forgetsANodeThatChanges);
    CPPUNIT_TEST(trustsNoAnswerAfterAStartThatMayHaveGoneElsewhere);
    CPPUNIT_TEST(readsStartsOfTheVersionBefore);
    CPPUNIT_TEST(encodesThePath);
    CPPUNIT_TEST(followsTheRunsOfTheJobTable);
    CPPUNIT_TEST(loadsASnapshotOfTheVersionBefore);
    CPPUNIT_TEST_SUITE_END();

public:
    void holdsLifetimesWithBoundRunsOnly()
    {
        AnsweredLifetimes answered;
        answered.bound(first, {"n1", true});
        answered.bound(first, {"n1", true});
        answered.released(first);
        CPPUNIT_ASSERT(answered.entries().at(first).isUsable());
        answered.released(first);
        CPPUNIT_ASSERT(answered.entries().empty());
        answered.released(first);
        answered.restore(first, "n1", 1);
        CPPUNIT_ASSERT(answered.entries().empty());
    }

    void ordersAnswers()
    {
        AnsweredLifetimes answered;
        answered.bound(second, {"n1", true});
        answered.bound(first, {"n1", true});
        answered.bound(second, {"n1", true});
        CPPUNIT_ASSERT(answered.entries().at(second).order < answered.entries().at(first).order);
    }

    void forgetsANodeThatChanges()
    {
        AnsweredLifetimes answered;
        answered.bound(first, {"n1", true});
        answered.bound(first, {"n2", true});
        CPPUNIT_ASSERT(!answered.entries().at(first).isUsable());
        answered.bound(first, {"n2", true});
        CPPUNIT_ASSERT(!answered.entries().at(first).isUsable());
        answered.bound(second, {"n1", true});
        answered.bound(second, {});
        answered.bound(second, {"n1", true});
        CPPUNIT_ASSERT(!answered.entries().at(second).isUsable());
    }

    void trustsNoAnswerAfterAStartThatMayHaveGoneElsewhere()
    {
        AnsweredLifetimes answered;
        answered.bound(first, {"n1", true});
        answered.bound(first, {"n1", false});
        CPPUNIT_ASSERT(!answered.entries().at(first).isUsable());
        answered.bound(first, {"n1", true});
        CPPUNIT_ASSERT(answered.entries().at(first).isUsable());
    }

    void readsStartsOfTheVersionBefore()
    {
        const Json start = Json::array({3, Json::array({"j", 0, 0, 0}), 1, "w1", 7});
        std::string bytes;
        Json::to_cbor(Json::array({5, Json::array({start})}), bytes);
        const StageBatch batch = StageBatch::decode(bytes);
        CPPUNIT_ASSERT(std::get<StartRun>(batch.commands.at(0)).path == StartPath());
    }

    void encodesThePath()
    {
        const StageBatch batch{5, {StartRun{{"j", 0, 0, 0}, 1, first, {"n1", true}}}};
        const StageBatch read = StageBatch::decode(batch.encode());
        CPPUNIT_ASSERT(std::get<StartRun>(read.commands.at(0)).path == (StartPath{"n1", true}));
    }

    /// Each way in which a run ends releases its lifetime.
    void followsTheRunsOfTheJobTable()
    {
        JobTable table(JobTableSettings{}, readAny);
        bindGang(table);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, entryOf(table, first).boundRuns);
        CPPUNIT_ASSERT(entryOf(table, first).isUsable());
        JobTable copy(JobTableSettings{}, readAny);
        CPPUNIT_ASSERT(copy.load(table.save()));
        CPPUNIT_ASSERT(copy.answeredLifetimes().entries() == table.answeredLifetimes().entries());
        CPPUNIT_ASSERT_EQUAL(table.answeredLifetimes().lastOrder(),
                             copy.answeredLifetimes().lastOrder());
        copy.apply(0, EndRun{{"j", 0, 0, 0}, 1, RunEnd::Lapsed, {}});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, entryOf(copy, first).boundRuns);
        copy.apply(0, EndRun{{"j", 0, 0, 1}, 1, RunEnd::Stopped, {}});
        CPPUNIT_ASSERT(copy.answeredLifetimes().entries().empty());
        // One end settles the gang.
        table.apply(0, EndRun{{"j", 0, 0, 0}, 1, RunEnd::Done, {}});
        CPPUNIT_ASSERT(table.answeredLifetimes().entries().empty());
    }

    /// Where its bound runs were started is not known, also not after the next start.
    void loadsASnapshotOfTheVersionBefore()
    {
        JobTable table(JobTableSettings{}, readAny);
        bindGang(table);
        Json json = Json::from_cbor(table.save());
        json.erase(json.size() - 1);
        std::string bytes;
        Json::to_cbor(json, bytes);
        JobTable loaded(JobTableSettings{}, readAny);
        CPPUNIT_ASSERT(loaded.load(bytes));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, entryOf(loaded, first).boundRuns);
        CPPUNIT_ASSERT(!entryOf(loaded, first).isUsable());
        loaded.apply(0, EndRun{{"j", 0, 0, 1}, 1, RunEnd::Lapsed, {}});
        loaded.apply(0, StartRun{{"j", 0, 0, 1}, 2, first, {"n1", true}});
        CPPUNIT_ASSERT(!entryOf(loaded, first).isUsable());
    }

private:
    static tl::expected<QueueTable, Findings> readAny(std::string_view document)
    {
        QueueSettings queue;
        queue.name = "batch";
        return QueueTable(document.size(), {queue}, {{"orders", {}}});
    }

    /// Binds both members of a gang to the first lifetime.
    static void bindGang(JobTable &table)
    {
        table.apply(0, ReplaceConfiguration{"x"});
        JobPlan plan;
        plan.steps.resize(1);
        plan.steps[0].tasks = 2;
        plan.steps[0].gang = true;
        table.apply(0, AcceptJob{"j", "batch", plan});
        for (std::uint32_t task = 0; task < 2; ++task)
            CPPUNIT_ASSERT(
                table.apply(0, StartRun{{"j", 0, 0, task}, 1, first, {"n1", true}}).applied);
    }

    static AnsweredLifetimes::Entry entryOf(const JobTable &table, const Lifetime &lifetime)
    {
        return table.answeredLifetimes().entries().at(lifetime);
    }

    static inline const Lifetime first{"w1", 1};
    static inline const Lifetime second{"w2", 1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnsweredLifetimesTest);
