#pragma once

#include <UnitTests/Fleet/ManualAgent.h>
#include <UnitTests/Support/LogCapture.h>

#include <cppunit/extensions/HelperMacros.h>

namespace guavashift {

/// What tests of whole fleets do with the nodes of a FleetFixture.
class FleetScenario : public FleetFixture
{
protected:
    /// Lets all calls to the worker of a task fail, and waits until the task starts elsewhere.
    void assertRestartsElsewhere(WorkerCallResult result)
    {
        for (const auto &worker : m_workers)
            worker->setTaskTime(std::chrono::hours(1));
        submit("j", planOf(1));
        until([this] { return running() == 1; });
        m_workers[m_workers[0]->running() == 1 ? 0 : 1]->failAll(result);
        until([this] { return totalStarts() == 2; });
    }

    /// Submits a job whose tasks crash their workers, beside one whose tasks do not, and calls
    /// `afterFirstCrash`.
    void submitDeadly(const JobPlan &plan, const std::function<void()> &afterFirstCrash)
    {
        for (std::size_t i = 0; i < m_workers.size(); ++i) {
            m_workers[i]->crashOn("deadly");
            m_workers[i]->setTaskTime(std::chrono::milliseconds(1500));
            m_workers[i]->setRestarted([this, i] {
                m_agents[i]->node->workerReported({m_workers[i]->facts(), 1, {}});
            });
        }
        submit("deadly", plan);
        until([this] { return m_workers[0]->crashes() + m_workers[1]->crashes() == 1; });
        afterFirstCrash();
        submitAgain("beside", planOf(4));
    }

    /// The same. The deadly job must fail after few starts and the other one complete.
    void assertGivesUp(const JobPlan &plan, const std::function<void()> &afterFirstCrash)
    {
        // Of which two follow three crashes.
        constexpr int maxStarts = 5;
        submitDeadly(plan, afterFirstCrash);
        const auto starts = [this] { return startsOf({"deadly", 0, 0, 0}); };
        until([&] { return starts() > maxStarts || isInState("deadly", "failed"); });
        CPPUNIT_ASSERT(starts() <= maxStarts);
        until([this] { return isInState("beside", "completed"); });
        CPPUNIT_ASSERT(starts() <= maxStarts);
    }

    /// Submits a job, also while there is no leader.
    void submitAgain(const std::string &job, const JobPlan &plan)
    {
        FleetCall call;
        call.kind = CallKind::Submit;
        call.host = "desk.example";
        call.path = "/counter/" + job;
        call.plan = plan;
        until([&] { return send(call).result == CallResult::Done; });
    }

    /// Whether the job's state could be read and is this one.
    bool isInState(const std::string &job, std::string_view state)
    {
        FleetCall call;
        call.host = "desk.example";
        call.path = "/counter/" + job;
        const FleetAnswer answer = send(call);
        return answer.result == CallResult::State && answer.text == state;
    }

    [[nodiscard]] int startsOf(const TaskRef &task) const
    {
        int starts = 0;
        for (const auto &worker : m_workers) {
            const auto found = worker->starts().find(task);
            starts += found == worker->starts().end() ? 0 : found->second;
        }
        return starts;
    }

    void stopLeader()
    {
        for (auto &core : m_cores) {
            if (core->node->leads()) {
                core.reset();
                return;
            }
        }
    }

    /// Leaves an end on both workers that no leader can commit.
    void endRunsWithoutLeader()
    {
        for (const auto &worker : m_workers)
            worker->setTaskTime(std::chrono::hours(1));
        JobPlan plan = planOf(2);
        plan.steps[0].maxPerWorker = 1;
        submit("j", plan);
        until([this] { return m_workers[0]->running() == 1 && m_workers[1]->running() == 1; });
        for (auto &core : m_cores)
            core.reset();
        until([this] { return !m_gateway->node->isReady(); });
        for (const auto &worker : m_workers)
            worker->finishAll();
    }

    /// Starts an agent that the test acts for, and a job whose tasks all run there.
    std::unique_ptr<ManualAgent> startOnManualAgent(std::uint32_t tasks)
    {
        int leader = 0;
        while (!m_cores[static_cast<std::size_t>(leader)]->node->leads())
            ++leader;
        auto agent =
            std::make_unique<ManualAgent>(m_gateway->loop, settingsOf(leader).channelAddress());
        JobPlan plan = planOf(tasks);
        plan.steps[0].size = {1, 1, 0};
        plan.steps[0].requiredLabel = "manual";
        submit("j", plan);
        until([&] { return agent->starts().size() == tasks; });
        return agent;
    }

    /// Begins a transfer of leadership. It stays pending as long as the followers' loops do not
    /// run, until the leader steps down.
    CoreNode &beginTransfer()
    {
        for (auto &core : m_cores) {
            if (core->node->leads()) {
                core->node->drain();
                return *core->node;
            }
        }
        CPPUNIT_FAIL("no control process leads");
    }

    /// Runs the loops of the leader and of the entry until the condition holds.
    void untilWithoutFollowers(const std::function<bool()> &condition)
    {
        std::array<std::unique_ptr<Hosted<CoreNode>>, cores> followers;
        for (std::size_t i = 0; i < followers.size(); ++i) {
            if (!m_cores[i]->node->leads())
                followers[i] = std::move(m_cores[i]);
        }
        until(condition);
        for (std::size_t i = 0; i < followers.size(); ++i) {
            if (followers[i])
                m_cores[i] = std::move(followers[i]);
        }
    }

    void restartAgents()
    {
        for (int i = 0; i < 2; ++i) {
            m_workers[static_cast<std::size_t>(i)]->disconnect();
            m_agents[static_cast<std::size_t>(i)].reset();
            startAgent(i);
        }
    }

    /// Whether the exported metrics contain the line.
    [[nodiscard]] bool hasMetric(std::string_view line)
    {
        return m_metrics.exposition().find(fmt::format("\n{}\n", line)) != std::string::npos;
    }

    /// Value of an exported metric without labels.
    [[nodiscard]] double metric(std::string_view name)
    {
        const std::string text = m_metrics.exposition();
        const std::string start = fmt::format("\n{} ", name);
        const std::size_t found = text.find(start);
        CPPUNIT_ASSERT_MESSAGE(std::string(name), found != std::string::npos);
        return std::stod(text.substr(found + start.size()));
    }
};

} // namespace guavashift
