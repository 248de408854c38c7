#pragma once

#include <Guavashift/Agent/BackendRegistry.h>
#include <Guavashift/Agent/RequestGate.h>

#include <condition_variable>
#include <mutex>

namespace guavashift {

/// Carries requests from entries through the RequestGate to the backend servers. Each request waits
/// on the thread of its connection. Thread-safe.
class AgentRequestHandler final
{
public:
    AgentRequestHandler(const RequestGateSettings &settings, const Incarnation &incarnation,
                        Duration backendLease, HttpClient &client);

    /// Answers one dispatched request. Without the configuration lease nothing new is run.
    HttpResponse handle(const HttpRequest &request, bool leaseHeld);

    RevokeReply revoke(const RevokeRequest &request);
    WindowReply window();

    /// Takes in a backend server's announcement.
    void announce(const BackendAnnouncement &announcement);

    /// The backend servers now, after those that fell silent are out.
    std::vector<BackendServer> currentBackends();

    void startLeaving();

    /// Waits until nothing is in flight or the time is up. Returns whether nothing is.
    bool waitUntilIdle(Duration timeout);

    [[nodiscard]] std::size_t inFlight() const;
    [[nodiscard]] std::size_t remembered() const;

private:
    struct ParsedRequest
    {
        DispatchedRequest dispatch;
        Duration timeLeft{};
        bool once = false; ///< Must not be sent to the backend server twice.
    };

    static tl::expected<ParsedRequest, Findings> parse(const HttpRequest &request);
    HttpResponse waitAndRun(const ParsedRequest &parsed, const HttpRequest &request,
                            Instant deadline);
    HttpResponse waitForAnswer(const ParsedRequest &parsed, Instant deadline);
    HttpResponse run(const ParsedRequest &parsed, const HttpRequest &request,
                     const TaskId &backend);
    HttpResponse refuse(const RefuseRequest &refusal) const;
    void refreshBackends(Instant now);

    HttpClient &m_client;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    RequestGate m_gate;
    BackendRegistry m_registry;
    bool m_leaving = false;
};

} // namespace guavashift
