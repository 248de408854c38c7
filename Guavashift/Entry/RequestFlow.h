#pragma once

#include <Guavashift/Entry/RequestForwarder.h>

namespace guavashift {

/// Processes one caller's request: chooses a worker, dispatches the request and, if needed, hedges,
/// retries or revokes it.
class RequestFlow final
{
public:
    RequestFlow(RequestForwarder &forwarder, std::shared_ptr<const HttpRequest> request,
                const RouteConfig &route, const LimitsConfig &limits, const TraceContext &trace);

    HttpResponse run();

private:
    /// Result of one dispatch.
    struct DispatchOutcome
    {
        DispatchEvent event;
        HttpResponse response;
    };

    /// Target of a dispatch, and the request id and window that it carries.
    struct DispatchPlan
    {
        RouteTarget target;
        RequestId id;
        std::uint64_t window = 0;
    };

    /// State shared between the dispatches of a hedged request.
    struct HedgeState;

    std::optional<HttpResponse> chooseTarget();
    std::optional<HttpResponse> claim();
    /// Returns the response that ends the request, or prepares a dispatch.
    std::optional<HttpResponse> followClaim(const Claim &claim);
    /// Reads the claim again if its agent cannot tell whether the request ran. If the claim does,
    /// or names another agent by now, the request goes on; otherwise it is refused as unknown.
    std::optional<HttpResponse> followClaimAgain(int status, const std::string &refusal);
    Result<Outcome> commitClaim(const RouteTarget &target, std::uint64_t window);
    /// Whether another worker may be tried for the claim.
    [[nodiscard]] bool mayClaimAgain() const;
    std::uint64_t windowOf(const RouteTarget &target);

    DispatchOutcome dispatch();
    DispatchOutcome dispatchHedged(Duration delay);
    static DispatchOutcome dispatchTo(RequestForwarder &forwarder, const HttpRequest &request,
                                      const RouteConfig &route, const RequestTraits &traits,
                                      const TraceContext &trace, const DispatchPlan &plan,
                                      Instant deadline);
    static DispatchOutcome classify(const RequestTraits &traits, const DispatchPlan &plan,
                                    tl::expected<HttpResponse, HttpFailure> answer);
    DispatchEvent revoke();

    [[nodiscard]] RetryAllowance allowance(const DispatchEvent &event);
    [[nodiscard]] bool mayHedge() const;
    [[nodiscard]] HttpResponse refuse(int status, std::string_view run,
                                      const std::string &message) const;
    [[nodiscard]] HttpResponse refuseNotRun(int status, const std::string &message) const;
    [[nodiscard]] HttpResponse finish(HttpResponse response) const;

    RequestForwarder &m_forwarder;
    std::shared_ptr<const HttpRequest> m_request;
    RouteConfig m_route;
    LimitsConfig m_limits;
    TraceContext m_trace;
    RequestTraits m_traits;
    std::string m_key;
    Instant m_deadline;
    unsigned m_attempts = 0;
    unsigned m_claimAttempts = 0;
    /// An idempotent dispatch may have run although its answer was lost.
    bool m_mayHaveRun = false;
    std::vector<WorkerId> m_triedWorkers;
    DispatchPlan m_plan;
    std::optional<Claim> m_claim;
};

} // namespace guavashift
