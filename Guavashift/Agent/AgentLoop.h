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
    /// The lease that the platform gets ends this much before the worker lease.
    Duration leaseMargin = std::chrono::milliseconds(100);
    Duration callTimeout = std::chrono::milliseconds(1500);
};

/// The agent's heartbeat: renews the agent's leases, sends reports to the control leader, and makes
/// the platform run the ordered tasks. Runs on its own thread. wake() and isConnected() are
/// thread-safe.
class AgentLoop final
{
public:
    AgentLoop(const AgentLoopSettings &settings, WorkerId worker, WorkerFacts facts,
              ControlClient &control, Platform &platform, AgentRequestHandler &requestHandler,
              LeasedConfiguration &configuration);
    ~AgentLoop();
    AgentLoop(const AgentLoop &) = delete;
    AgentLoop &operator=(const AgentLoop &) = delete;

    void start();
    void stop();

    /// Starts the next heartbeat at once.
    void wake();

    /// Whether a leader that knows this agent has ever answered a heartbeat.
    [[nodiscard]] bool isConnected() const;

private:
    void run();
    /// Runs one round. Returns whether the next one should follow at once.
    bool runRound();
    /// Renews the platform's lease and reads its tasks. Returns false if that fails.
    bool renewPlatformLease();
    void sendHeartbeat();
    void announce();
    void updateBackends();
    /// Makes one call to the platform. Returns whether it succeeded.
    bool performAction(const PlatformAction &action);
    /// Takes over the orders of a reply, or notes that an announcement is needed.
    void applyOrders(HeartbeatReply &reply);
    /// All reports but those of starts that the present leader already has.
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
    /// Attempts whose start was reported to the present leader.
    std::set<std::pair<TaskId, Attempt>> m_deliveredStarts;
    std::uint64_t m_epoch = 0;
    std::map<TaskId, WallMs> m_usageSent; ///< Time of the newest measurement sent, by task.
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
