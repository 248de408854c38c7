#include <Guavashift/Settings/SettingsReader.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>
#include <optional>

namespace guavashift {

namespace {

constexpr std::uint64_t maxPort = 65'535;

std::string environmentName(const std::string &flag)
{
    std::string name = "GUAVASHIFT_";
    for (const char c : flag)
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return name;
}

/// Collects the flags as strings, which are checked together after parsing.
class RawFlags final
{
public:
    explicit RawFlags(CLI::App &app)
        : m_app(app)
    {
    }

    void add(const std::string &flag, const std::string &help)
    {
        m_app.add_option("--" + flag, m_flags[flag], help)->envname(environmentName(flag));
    }

    void addList(const std::string &flag, const std::string &help)
    {
        m_app.add_option("--" + flag, m_listFlags[flag], help)
            ->envname(environmentName(flag))
            ->delimiter(',');
    }

    [[nodiscard]] const std::string &text(const std::string &flag) const
    {
        return m_flags.at(flag);
    }
    [[nodiscard]] const std::vector<std::string> &list(const std::string &flag) const
    {
        return m_listFlags.at(flag);
    }

private:
    CLI::App &m_app;
    std::map<std::string, std::string> m_flags;
    std::map<std::string, std::vector<std::string>> m_listFlags;
};

/// Converts the flags to settings and collects the errors.
class SettingsParser final
{
public:
    SettingsParser(const RawFlags &flags, Findings &findings)
        : m_flags(flags)
        , m_findings(findings)
    {
    }

    void report(const std::string &flag, std::string message)
    {
        m_findings.push_back({"--" + flag, std::move(message)});
    }

    template <typename Integer>
    void number(const std::string &flag, Integer &value, std::uint64_t min, std::uint64_t max)
    {
        const std::string &text = m_flags.text(flag);
        if (text.empty())
            return;
        std::uint64_t parsed = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), parsed);
        if (error != std::errc() || end != text.data() + text.size())
            report(flag, fmt::format("'{}' is not a whole number", text));
        else if (parsed < min || parsed > max)
            report(flag, fmt::format("{} is not within {} to {}", parsed, min, max));
        else
            value = static_cast<Integer>(parsed);
    }

    void name(const std::string &flag, std::string &value)
    {
        value = m_flags.text(flag);
        const bool valid = !value.empty() && value.size() <= 64
            && std::all_of(value.begin(), value.end(), [](unsigned char c) {
                   return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
               });
        if (!valid)
            report(flag, "is required: 1 to 64 letters, digits, '-', '_' or '.'");
    }

    void address(const std::string &flag, std::string &value)
    {
        const std::string &text = m_flags.text(flag);
        if (!text.empty())
            value = text;
        if (value.empty())
            report(flag, "is required: IP:port");
        else
            checkAddress(flag, value);
    }

    void checkAddress(const std::string &flag, const std::string &text)
    {
        const std::size_t colon = text.rfind(':');
        in_addr parsed{};
        std::uint64_t port = 0;
        bool valid = colon != std::string::npos
            && inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed) == 1;
        if (valid) {
            const char *first = text.data() + colon + 1;
            const char *last = text.data() + text.size();
            const auto [end, error] = std::from_chars(first, last, port);
            valid = error == std::errc() && end == last && port <= maxPort;
        }
        if (!valid)
            report(flag, fmt::format("'{}' is not IP:port; host names are not resolved", text));
    }

    void logLevel(const std::string &flag, LogLevel &level)
    {
        const std::string &text = m_flags.text(flag);
        if (text.empty() || text == "info")
            level = LogLevel::Info;
        else if (text == "debug")
            level = LogLevel::Debug;
        else if (text == "warning")
            level = LogLevel::Warning;
        else if (text == "error")
            level = LogLevel::Error;
        else
            report(flag, fmt::format("'{}' is not debug, info, warning or error", text));
    }

private:
    const RawFlags &m_flags;
    Findings &m_findings;
};

void addFlags(RawFlags &flags)
{
    flags.addList("role", "role to run: agent, control, entry; repeatable");
    flags.add("vm", "name of this VM, unique in the cluster");
    flags.add("failure-domain", "failure domain of this VM");
    flags.add("rack", "rack of this VM");
    flags.add("cluster-id", "id that all processes of the cluster share (default guavashift)");
    flags.add("cluster-key", "secret that all processes of the cluster share");
    flags.add("operator-token", "token required by the administration API");
    flags.addList("control-address", "IP:port of each control process; repeatable");
    flags.add("admin-listen", "IP:port for health, metrics and administration");
    flags.add("log-level", "debug, info, warning or error (default info)");
    flags.add("trace-sample-permille", "traces started here, per thousand requests (default 10)");
    flags.add("control-listen", "control: IP:port for other processes of the system");
    flags.add("data-folder", "control: folder of the replicated state");
    flags.add("target-voters", "control: target number of voters, 1 to 7 (default 3)");
    flags.add("snapshot-entries", "control: log entries between two snapshots (default 20000)");
    flags.add("voter-lost-seconds",
              "control: seconds without contact until a voter is replaced (default 30)");
    flags.add("entry-listen", "entry: IP:port for callers");
    flags.add("entry-connections",
              "entry: maximum concurrent connections of callers (default 1024)");
    flags.add("agent-listen", "agent: IP:port for requests from entries");
    flags.add("agent-rpc-listen", "agent: IP:port for RPC calls from entries");
    flags.add("platform-address", "agent: IP:port of the platform's interface on this worker");
    flags.add("capacity-milli-cores",
              "agent: processor capacity of this worker, in thousandths of a core");
    flags.add("capacity-memory-mb", "agent: memory of this worker, in MiB");
    flags.add("capacity-accelerators", "agent: accelerators of this worker (default 0)");
    flags.add("drain-seconds",
              "maximum seconds to wait for requests in flight at a planned stop (default 30)");
}

bool hasRole(const DaemonSettings &settings, std::string_view role)
{
    return std::find(settings.roles.begin(), settings.roles.end(), role) != settings.roles.end();
}

void readCommon(const RawFlags &flags, SettingsParser &parser, DaemonSettings &settings,
                const std::vector<std::string> &knownRoles)
{
    settings.roles = flags.list("role");
    if (settings.roles.empty())
        parser.report("role", "is required at least once");
    for (const std::string &role : settings.roles) {
        if (std::find(knownRoles.begin(), knownRoles.end(), role) == knownRoles.end())
            parser.report("role",
                          fmt::format("unknown role '{}'; known roles: {}", role,
                                      fmt::join(knownRoles, ", ")));
        if (std::count(settings.roles.begin(), settings.roles.end(), role) > 1)
            parser.report("role", fmt::format("role '{}' is given more than once", role));
    }
    parser.name("vm", settings.vm);
    parser.name("failure-domain", settings.failureDomain.value);
    settings.rack.value = flags.text("rack");
    if (!flags.text("cluster-id").empty())
        settings.clusterId = flags.text("cluster-id");
    settings.clusterKey = flags.text("cluster-key");
    settings.operatorToken = flags.text("operator-token");
    settings.controlAddresses = flags.list("control-address");
    if (settings.controlAddresses.empty())
        parser.report("control-address", "is required at least once");
    for (const std::string &address : settings.controlAddresses)
        parser.checkAddress("control-address", address);
    parser.address("admin-listen", settings.adminListen);
    parser.logLevel("log-level", settings.logLevel);
    parser.number("trace-sample-permille", settings.traceSamplePermille, 0, 1000);
    parser.number("drain-seconds", settings.drainSeconds, 1, 3600);
}

void readRoles(const RawFlags &flags, SettingsParser &parser, DaemonSettings &settings)
{
    if (hasRole(settings, "control")) {
        parser.address("control-listen", settings.controlListen);
        settings.dataFolder = flags.text("data-folder");
        if (settings.dataFolder.empty())
            parser.report("data-folder", "is required");
        parser.number("target-voters", settings.targetVoters, 1, 7);
        parser.number("snapshot-entries", settings.snapshotEntries, 10, 10'000'000);
        parser.number("voter-lost-seconds", settings.voterLostSeconds, 2, 86'400);
    }
    if (hasRole(settings, "entry")) {
        parser.address("entry-listen", settings.entryListen);
        parser.number("entry-connections", settings.entryConnections, 1, 65'536);
    }
    if (hasRole(settings, "agent")) {
        parser.address("agent-listen", settings.agentListen);
        parser.address("agent-rpc-listen", settings.agentRpcListen);
        parser.address("platform-address", settings.platformAddress);
        parser.number("capacity-milli-cores", settings.capacity.milliCores, 1, 10'000'000);
        parser.number("capacity-memory-mb", settings.capacity.memoryMb, 1, 1'000'000'000);
        parser.number("capacity-accelerators", settings.capacity.accelerators, 0, 10'000);
        if (flags.text("capacity-milli-cores").empty())
            parser.report("capacity-milli-cores", "is required");
        if (flags.text("capacity-memory-mb").empty())
            parser.report("capacity-memory-mb", "is required");
        settings.rack.value = flags.text("rack");
        if (settings.rack.isEmpty())
            parser.report("rack", "is required");
    }
}

} // namespace

SettingsResult readDaemonSettings(int argc, const char *const *argv,
                                  const std::vector<std::string> &knownRoles)
{
    CLI::App app("guavashiftd: a process of the guavashift scheduler", "guavashiftd");
    RawFlags flags(app);
    bool showVersion = false;
    bool checkOnly = false;
    app.add_flag("--version", showVersion, "print the version");
    app.add_flag("--check-settings", checkOnly, "check the settings and start nothing");
    addFlags(flags);
    app.allow_extras();

    Findings findings;
    try {
        app.parse(argc, argv);
    } catch (const CLI::CallForHelp &) {
        return PrintAndExit{app.help()};
    } catch (const CLI::ParseError &error) {
        findings.push_back({"command line", error.what()});
    }
    if (showVersion)
        return PrintAndExit{fmt::format("guavashiftd {}\n", GUAVASHIFT_VERSION)};
    for (const std::string &extra : app.remaining())
        findings.push_back({extra, "unknown argument"});

    DaemonSettings settings;
    SettingsParser parser(flags, findings);
    readCommon(flags, parser, settings, knownRoles);
    readRoles(flags, parser, settings);
    if (!findings.empty())
        return InvalidSettings{std::move(findings)};
    if (checkOnly)
        return PrintAndExit{"the settings are valid\n"};
    return RunDaemon{std::move(settings)};
}

} // namespace guavashift
