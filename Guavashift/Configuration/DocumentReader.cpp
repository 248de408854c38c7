#include <Guavashift/Configuration/DocumentReader.h>
#include <Guavashift/Configuration/FieldReader.h>

#include <set>

namespace guavashift {

namespace {

constexpr std::int64_t maxReplicas = 20'000;
constexpr std::int64_t maxSlots = 4096;
constexpr std::int64_t maxConnections = 65'536;
constexpr std::int64_t maxTimeoutMs = 3'600'000;
constexpr std::int64_t maxRequestBytes = 64 << 20;
constexpr std::int64_t maxQueueLength = 100'000;
constexpr std::int64_t maxExpirySeconds = 86'400;
constexpr std::int64_t maxCount = 1'000;
constexpr std::size_t maxTextBytes = 1024;

/// Reads the parts of one document and collects the findings.
class Reader final
{
public:
    tl::expected<ConfigurationDocument, Findings> read(const Json &json)
    {
        FieldReader fields(json, "", m_findings);
        readTeams(fields);
        readServices(fields);
        readRoutes(fields);
        readLimits(fields);
        readPolicy(fields);
        fields.reportUnknownMembers();
        if (m_findings.empty())
            checkQuotas();
        if (!m_findings.empty())
            return tl::unexpected(std::move(m_findings));
        return std::move(m_document);
    }

private:
    void checkName(const FieldReader &fields, const std::string &name)
    {
        if (!isValidName(name))
            m_findings.push_back({fields.placeOf(name), "is not a valid name"});
    }

    void readTeams(FieldReader &parent)
    {
        const Json *json = parent.object("teams");
        if (json == nullptr)
            return;
        FieldReader names(*json, "/teams", m_findings);
        for (const auto &[name, value] : json->items()) {
            checkName(names, name);
            TeamConfig team;
            FieldReader fields(value, names.placeOf(name), m_findings);
            fields.required("quota");
            fields.resources("quota", team.quota);
            fields.resources("reserved", team.reserved);
            fields.reportUnknownMembers();
            if (!team.reserved.fitsWithin(team.quota))
                fields.report("reserved", "exceeds the quota");
            m_document.teams.emplace(TeamId{name}, team);
        }
    }

    void readServices(FieldReader &parent)
    {
        const Json *json = parent.object("services");
        if (json == nullptr)
            return;
        FieldReader names(*json, "/services", m_findings);
        for (const auto &[name, value] : json->items()) {
            checkName(names, name);
            ServiceConfig service;
            FieldReader fields(value, names.placeOf(name), m_findings);
            fields.required("team");
            fields.required("size");
            fields.text("team", service.team.value, maxTextBytes);
            fields.number("replicas", service.replicas, 0, maxReplicas);
            fields.resources("size", service.size);
            fields.number("slots", service.slots, 1, maxSlots);
            fields.number("connections", service.connections, 1, maxConnections);
            fields.reportUnknownMembers();
            if (!service.team.isEmpty() && !m_document.teams.contains(service.team))
                fields.report("team", fmt::format("there is no team '{}'", service.team.value));
            m_document.services.emplace(ServiceId{name}, service);
        }
    }

    void readRoutes(FieldReader &parent)
    {
        const Json *json = parent.array("routes");
        if (json == nullptr)
            return;
        std::set<std::string> prefixes;
        for (std::size_t i = 0; i < json->size(); ++i) {
            RouteConfig route;
            FieldReader fields((*json)[i], "/routes/" + std::to_string(i), m_findings);
            fields.required("prefix");
            fields.required("service");
            fields.text("prefix", route.prefix, maxTextBytes);
            fields.text("service", route.service.value, maxTextBytes);
            fields.boolean("idempotent", route.idempotent);
            fields.boolean("exclusive", route.exclusive);
            fields.number("timeoutMs", route.timeoutMs, 1, maxTimeoutMs);
            fields.reportUnknownMembers();
            if (!route.prefix.empty() && !route.prefix.starts_with('/'))
                fields.report("prefix", "must start with '/'");
            if (!prefixes.insert(route.prefix).second)
                fields.report("prefix", "stands twice");
            if (!route.service.isEmpty() && !m_document.services.contains(route.service))
                fields.report("service",
                              fmt::format("there is no service '{}'", route.service.value));
            m_document.routes.push_back(std::move(route));
        }
    }

    void readLimits(FieldReader &parent)
    {
        const Json *json = parent.object("limits");
        if (json == nullptr)
            return;
        LimitsConfig &limits = m_document.limits;
        FieldReader fields(*json, "/limits", m_findings);
        fields.number("maxBodyBytes", limits.maxBodyBytes, 0, maxRequestBytes);
        fields.number("queueLength", limits.queueLength, 0, maxQueueLength);
        fields.number("retryBudgetPercent", limits.retryBudgetPercent, 0, 100);
        fields.number("hedgePercentile", limits.hedgePercentile, 50, 100);
        fields.number("keyExpirySeconds", limits.keyExpirySeconds, 1, maxExpirySeconds);
        fields.reportUnknownMembers();
    }

    void readPolicy(FieldReader &parent)
    {
        const Json *json = parent.object("policy");
        if (json == nullptr)
            return;
        PolicyConfig &policy = m_document.policy;
        FieldReader fields(*json, "/policy", m_findings);
        fields.number("slowdownLimitPercent", policy.slowdownLimitPercent, 101, 10'000);
        fields.number("headroomPercent", policy.headroomPercent, 0, 90);
        fields.number("throttlePercent", policy.throttlePercent, 5, 100);
        fields.number("maxEvictionsPerTask", policy.maxEvictionsPerTask, 0, maxCount);
        fields.number("quarantineFailures", policy.quarantineFailures, 1, maxCount);
        fields.number("quarantineSeconds", policy.quarantineSeconds, 1, maxExpirySeconds);
        fields.number("maxTaskFailures", policy.maxTaskFailures, 1, maxCount);
        fields.reportUnknownMembers();
    }

    /// Checks that the services of each team together fit into its quota.
    void checkQuotas()
    {
        std::map<TeamId, Resources> needed;
        for (const auto &[name, service] : m_document.services) {
            const auto count = static_cast<std::int64_t>(service.replicas);
            needed[service.team] += {service.size.milliCores * count, service.size.memoryMb * count,
                                     service.size.accelerators * count};
        }
        for (const auto &[team, resources] : needed) {
            if (!resources.fitsWithin(m_document.teams.at(team).quota))
                m_findings.push_back(
                    {"/teams/" + team.value + "/quota", "the team's services need more than this"});
        }
    }

    ConfigurationDocument m_document;
    Findings m_findings;
};

} // namespace

tl::expected<ConfigurationDocument, Findings> readDocument(const Json &json)
{
    return Reader().read(json);
}

} // namespace guavashift
