#pragma once

#include <Guavashift/Agent/BackendRegistry.h>
#include <Guavashift/Agent/HandOver.h>
#include <Guavashift/Agent/RequestGate.h>

#include <condition_variable>
#include <mutex>

namespace guavashift {

/// Passes requests from entries through the RequestGate to the backend servers. Each request waits
/// on the thread of its connection. Thread-safe.
class AgentRequestHandler final
{
public:
    AgentRequestHandler(const RequestGateSettings &settings, const Incarnation &incarnation,
                        Duration backendLease, HttpClient &client);

    /// Answers one request of an entry. Without the configuration lease, new requests are refused.
    HttpResponse handle(const HttpRequest &request, bool leaseHeld);

    /// See RequestGate::revoke().
    RevokeReply revoke(const RevokeRequest &request);
    WindowReply window();

    /// Adds or updates a backend server and renews its lease.
    void announce(const BackendAnnouncement &announcement);

    /// The current backend servers, without those whose lease has expired.
    std::vector<BackendServer> currentBackends();

    /// Refuses all new requests from now on.
    void startLeaving();

    /// Waits until no request is in flight, at most for `timeout`. Returns whether that is so.
    bool waitUntilIdle(Duration timeout);

    /// Reports the requests with a key, with the newest answers up to that many bytes of bodies.
    /// Complete only after startLeaving().
    [[nodiscard]] HandOver handOver(std::size_t maxBytes);

    [[nodiscard]] std::size_t inFlight() const;
    [[nodiscard]] std::size_t remembered() const;

private:
    struct ParsedRequest
    {
        DispatchedRequest dispatch;
        Duration timeLeft{};
        bool once = false; ///< Must not reach the backend server twice.
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
