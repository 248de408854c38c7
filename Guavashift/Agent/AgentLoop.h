#pragma once

#include <Guavashift/Agent/GateKeeper.h>
#include <Guavashift/Agent/WorkerReconciler.h>
#include <Guavashift/Control/Control.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace guavashift {

struct AgentLoopSettings
{
    Duration heartbeatInterval = std::chrono::milliseconds(500);
    /// Time kept back from the worker lease when it is handed on to the platform.
    Duration leaseMargin = std::chrono::milliseconds(100);
    Duration callTimeout = std::chrono::milliseconds(1500);
};

/// The agent's heartbeat: renews its leases, carries reports to the control leader, and makes the
/// platform run what is ordered.
class AgentLoop final
{
public:
    AgentLoop(const AgentLoopSettings &settings, WorkerId worker, WorkerFacts facts,
              ControlClient &control, Platform &platform, GateKeeper &gate,
              LeasedConfiguration &configuration);
    ~AgentLoop();
    AgentLoop(const AgentLoop &) = delete;
    AgentLoop &operator=(const AgentLoop &) = delete;

    void start();
    void stop();

    /// Makes the next heartbeat happen now.
    void wake();

    /// Whether the agent has ever been answered by a leader.
    [[nodiscard]] bool isConnected() const;

private:
    void run();
    /// One round; returns whether the next should follow at once.
    bool beat();
    bool renewPlatform();
    void sendHeartbeat();
    void announce();
    void updateBackends();
    bool carryOut(const PlatformAction &action);
    void takeOrders(HeartbeatReply &reply);
    [[nodiscard]] std::vector<ReportAttempt> untoldReports() const;
    void reportsTold(const HeartbeatRequest &request, const HeartbeatReply &reply);

    AgentLoopSettings m_settings;
    WorkerId m_worker;
    WorkerFacts m_facts;
    ControlClient &m_control;
    Platform &m_platform;
    GateKeeper &m_gate;
    LeasedConfiguration &m_configuration;
    WorkerReconciler m_reconciler;

    NodeLease m_lease;
    WorkerOrders m_orders;
    bool m_ordersKnown = false;
    std::vector<ReportAttempt> m_reports;
    /// Starts that the present leader has been told of.
    std::set<std::pair<TaskId, Attempt>> m_startsTold;
    std::uint64_t m_epoch = 0;
    std::map<TaskId, WallMs> m_usageSent; ///< Newest measurement passed on, by task.
    PlatformStatus m_status;
    std::optional<std::vector<BackendServer>> m_backendsTold;
    bool m_announceNeeded = true;

    mutable std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    bool m_woken = false;
    bool m_stopping = false;
    bool m_connected = false;
    std::thread m_thread;
};

} // namespace guavashift
