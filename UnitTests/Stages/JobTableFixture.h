#pragma once

#include <Guavashift/Stages/Stages.h>

#include <cppunit/extensions/HelperMacros.h>

namespace guavashift {

/// From this version on, a task has one attempt instead of two.
inline constexpr std::uint64_t oneAttemptVersion = 100;
/// From this version on, there is no queue.
inline constexpr std::uint64_t noQueueVersion = 200;

/// Reads documents that consist of a version number.
inline tl::expected<QueueTable, Findings> readVersion(std::string_view text)
{
    if (text.empty() || text.find_first_not_of("0123456789") != std::string_view::npos)
        return tl::unexpected(Findings{{"", "not a number"}});
    QueueSettings queue;
    queue.name = "counter";
    queue.host = "desk.example";
    queue.pathPrefix = "/counter/";
    queue.service = "orders";
    queue.timeoutMs = 1000;
    const std::uint64_t version = std::stoull(std::string(text));
    queue.maxAttempts = version < oneAttemptVersion ? 2 : 1;
    if (version >= noQueueVersion)
        return QueueTable(version, {}, {{"orders", {}}});
    return QueueTable(version, {queue}, {{"orders", {}}});
}

inline JobPlan twoSteps()
{
    JobPlan plan;
    plan.payload = "work";
    plan.steps.resize(2);
    plan.steps[0].tasks = 2;
    plan.steps[1].after = {0};
    return plan;
}

inline TaskRef task(std::uint32_t step, std::uint32_t number, std::uint32_t occurrence = 0)
{
    return {"j", occurrence, step, number};
}

inline const Lifetime here{"w1", 7};

/// A job table with one queue, whose commands pass through the log's format.
class JobTableFixture : public CppUnit::TestFixture
{
public:
    void setUp() override
    {
        m_jobTable = std::make_unique<JobTable>(JobTableSettings{1000}, readVersion);
        CPPUNIT_ASSERT(m_jobTable->apply(0, ReplaceConfiguration{"3"}).applied);
    }

protected:
    void accept(const JobPlan &plan)
    {
        CPPUNIT_ASSERT(m_jobTable->apply(0, AcceptJob{"j", "counter", plan}).applied);
    }

    bool start(const TaskRef &ref, std::uint32_t run)
    {
        // Encoded and decoded in the log's format, as in a replica.
        const StageBatch batch =
            StageBatch::decode(StageBatch{0, {StartRun{ref, run, here}}}.encode());
        return m_jobTable->apply(0, batch.commands.front()).applied;
    }

    /// Ends the run in the log's format, as in a replica.
    bool crash(const TaskRef &ref, std::uint32_t run,
               CrashEvidence evidence = CrashEvidence::Suspected)
    {
        const StageBatch batch = StageBatch::decode(
            StageBatch{0, {EndRun{ref, run, RunEnd::Lapsed, {}, evidence}}}.encode());
        return m_jobTable->apply(0, batch.commands.front()).applied;
    }

    /// The saved row of a task: the first array that ends with numbers of crashes.
    static Json *findRow(Json &json)
    {
        if (!json.is_array())
            return nullptr;
        if (json.size() == 8 && json.at(6).is_number() && json.at(7).is_number()
            && json.at(5).is_string())
            return &json;
        for (Json &each : json) {
            if (Json *row = findRow(each))
                return row;
        }
        return nullptr;
    }

    bool end(const TaskRef &ref, std::uint32_t run, RunEnd how, const std::string &saved = {})
    {
        const StageBatch batch =
            StageBatch::decode(StageBatch{0, {EndRun{ref, run, how, saved}}}.encode());
        return m_jobTable->apply(0, batch.commands.front()).applied;
    }

    std::unique_ptr<JobTable> m_jobTable;
};

} // namespace guavashift
