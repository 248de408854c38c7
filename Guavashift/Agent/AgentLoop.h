#pragma once

#include <Guavashift/Agent/AgentRequestHandler.h>
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
              ControlClient &control, Platform &platform, AgentRequestHandler &gate,
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
    bool runRound();
    bool renewPlatformLease();
    void sendHeartbeat();
    void announce();
    void updateBackends();
    bool performAction(const PlatformAction &action);
    void applyOrders(HeartbeatReply &reply);
    [[nodiscard]] std::vector<ReportAttempt> undeliveredReports() const;
    void markReportsDelivered(const HeartbeatRequest &request, const HeartbeatReply &reply);

    AgentLoopSettings m_settings;
    WorkerId m_worker;
    WorkerFacts m_facts;
    ControlClient &m_control;
    Platform &m_platform;
    AgentRequestHandler &m_requestHandler;
    LeasedConfiguration &m_configuration;
    WorkerReconciler m_reconciler;

    NodeLease m_lease;
    WorkerOrders m_orders;
    bool m_ordersKnown = false;
    std::vector<ReportAttempt> m_reports;
    /// Starts that the present leader has been told of.
    std::set<std::pair<TaskId, Attempt>> m_deliveredStarts;
    std::uint64_t m_epoch = 0;
    std::map<TaskId, WallMs> m_usageSent; ///< Newest measurement passed on, by task.
    PlatformStatus m_status;
    std::optional<std::vector<BackendServer>> m_reportedBackends;
    bool m_announceNeeded = true;

    mutable std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    bool m_woken = false;
    bool m_stopping = false;
    bool m_connected = false;
    std::thread m_thread;
};

} // namespace guavashift
