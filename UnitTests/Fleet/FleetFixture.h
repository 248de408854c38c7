#pragma once

#include <UnitTests/Fleet/FakeWorker.h>
#include <UnitTests/Fleet/FullDiskLogStore.h>
#include <UnitTests/Fleet/Hosted.h>
#include <UnitTests/Fleet/SlowDiskLogStore.h>

#include <cppunit/TestFixture.h>

#include <array>
#include <atomic>
#include <filesystem>

namespace guavashift {

/// Real nodes on loopback addresses, with workers in memory: three control processes, an entry and
/// two agents. They run in the test's thread, except that control processes may have a thread each.
class FleetFixture : public CppUnit::TestFixture
{
public:
    void setUp() override;
    void tearDown() override;

protected:
    static constexpr int cores = 3;
    /// Configurations from this version on have no queue.
    static constexpr std::uint64_t noQueueVersion = 1000;

    enum class CoreLoops : std::uint8_t { InTestThread, InOwnThreads };

    explicit FleetFixture(CoreLoops coreLoops = CoreLoops::InTestThread);

    [[nodiscard]] FleetSettings settingsOf(int number) const;
    void startCore(int number, bool first);
    /// Starts a control process with these settings in the place of control process `place`, which
    /// has ended.
    void startCoreAt(std::size_t place, const FleetSettings &settings);
    void startAgent(int number);
    /// Opens stores on the disk of that control process, with all its faults.
    [[nodiscard]] LogStoreOpener openerOfDisk(std::size_t place);
    [[nodiscard]] static JobPlan planOf(std::uint32_t tasks);
    FleetAnswer send(const FleetCall &call);
    void submit(const std::string &job, const JobPlan &plan);
    std::string stateOf(const std::string &job);
    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] int totalStarts() const;

    /// Runs the event loops without a thread of their own until the condition holds, for at most
    /// `limit`. Returns whether it held.
    bool runUntil(const std::function<bool()> &condition, Duration limit);
    /// Same, but fails after 30 s, far more than any test needs.
    void until(const std::function<bool()> &condition);

    CoreLoops m_coreLoops;
    std::uint16_t m_port = 0;
    std::filesystem::path m_folder;
    FleetMetrics m_metrics; ///< Shared by all nodes.
    /// While one is set, the disk of that control process refuses every write.
    std::array<std::atomic<bool>, cores> m_isDiskFull{};
    /// Time that each sync of that control process's disk takes longer.
    std::array<std::atomic<int>, cores> m_syncDelayMs{};
    /// Changes what the disk of that control process returns when its data folder is opened.
    std::array<std::function<void(PersistentState &)>, cores> m_alterStored{};
    std::array<std::unique_ptr<Hosted<CoreNode>>, cores> m_cores;
    std::unique_ptr<Hosted<GatewayNode>> m_gateway;
    AgentNodeSettings m_agentSettings;
    std::vector<std::unique_ptr<FakeWorker>> m_workers;
    std::vector<std::unique_ptr<Hosted<AgentNode>>> m_agents;
};

} // namespace guavashift
