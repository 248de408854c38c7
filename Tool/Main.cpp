#include <Tool/AdminClient.h>
#include <Tool/TablePrinter.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <random>

using namespace guavashift;

namespace {

constexpr int exitDone = 0;
constexpr int exitUnreachable = 1;
constexpr int exitUsage = 2;
constexpr int exitRefused = 3;

constexpr int firstErrorStatus = 300;

const std::string apiRoot = "/admin/v1";

/// Options of all commands.
struct ToolOptions
{
    std::vector<std::string> admin{"127.0.0.1:7100"};
    std::string token;
    std::string output = "table";

    std::string file;
    std::string operatorName = "operator";
    std::string patchId;
    std::int64_t base = -1;

    std::string team;
    std::string id;
    std::vector<std::string> ids;
    Json job = Json::object();
    std::string vm;
    std::string domain;
    bool undo = false;
};

/// Executes the command given on the command line.
class Tool final
{
public:
    explicit Tool(const ToolOptions &options)
        : m_options(options)
        , m_client(options.admin, options.token)
    {
    }

    int show(const std::string &target, const std::vector<TableColumn> &columns = {})
    {
        return print(m_client.send("GET", apiRoot + target), columns);
    }

    int post(const std::string &target, const Json &body)
    {
        return print(m_client.send("POST", apiRoot + target, body), {});
    }

    /// Evacuates a failure domain of a fleet, or takes it back. Both are safe to repeat.
    int evacuate(const std::string &domain, bool takeBack)
    {
        return print(m_client.send(takeBack ? "DELETE" : "POST",
                                   apiRoot + "/evacuations/" + encodeSegment(domain)),
                     {});
    }

    int patch(bool checkOnly)
    {
        const std::optional<Json> document = readDocument();
        if (!document)
            return exitUsage;
        if (checkOnly)
            return check(*document);
        std::int64_t base = m_options.base;
        if (base < 0) {
            const Result<AdminAnswer> current = m_client.send("GET", apiRoot + "/config");
            if (!current || current->status >= firstErrorStatus)
                return print(current, {});
            base = current->body.at("version").get<std::int64_t>();
        }
        // One id for all repetitions, so that the patch is safe to send again after a lost answer.
        const std::string patchId = m_options.patchId.empty() ? newId() : m_options.patchId;
        return post("/config/patch",
                    {{"operator", m_options.operatorName},
                     {"patchId", patchId},
                     {"baseVersion", base},
                     {"patch", *document}});
    }

private:
    /// Escapes a text for use as one part of a path.
    static std::string encodeSegment(std::string_view text)
    {
        constexpr std::string_view unescaped =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
            "0123456789-._~";
        std::string encoded;
        for (const char c : text) {
            if (unescaped.find(c) != std::string_view::npos)
                encoded += c;
            else
                encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
        }
        return encoded;
    }

    static std::string newId()
    {
        std::random_device device;
        return fmt::format("{:08x}{:08x}", device(), device());
    }

    std::optional<Json> readDocument() const
    {
        std::string text;
        if (m_options.file == "-") {
            text.assign(std::istreambuf_iterator<char>(std::cin), {});
        } else {
            std::ifstream stream(m_options.file);
            if (!stream) {
                fmt::print(stderr, "guavashift: cannot read {}\n", m_options.file);
                return std::nullopt;
            }
            text.assign(std::istreambuf_iterator<char>(stream), {});
        }
        Json json = Json::parse(text, nullptr, false);
        if (json.is_discarded()) {
            fmt::print(stderr, "guavashift: {} is not JSON\n", m_options.file);
            return std::nullopt;
        }
        return json;
    }

    int check(const Json &document)
    {
        const Result<AdminAnswer> answer =
            m_client.send("POST", apiRoot + "/config/check", document);
        const int code = print(answer, {});
        const bool isValid = code == exitDone && answer->body.at("findings").empty();
        return code == exitDone && !isValid ? exitRefused : code;
    }

    int print(const Result<AdminAnswer> &answer, const std::vector<TableColumn> &columns) const
    {
        if (!answer) {
            fmt::print(stderr, "guavashift: {}\n", answer.error().message);
            return exitUnreachable;
        }
        const bool refused = answer->status >= firstErrorStatus;
        std::string text;
        if (m_options.output == "json")
            text = answer->body.dump(2) + "\n";
        else if (answer->body.is_array())
            text = formatTable(answer->body, columns);
        else
            text = formatObject(answer->body);
        std::fputs(text.c_str(), refused ? stderr : stdout);
        return refused ? exitRefused : exitDone;
    }

    const ToolOptions &m_options;
    AdminClient m_client;
};

const std::vector<TableColumn> workerColumns{{"WORKER", "/worker"},
                                             {"STATUS", "/status"},
                                             {"DOMAIN", "/failureDomain"},
                                             {"RACK", "/rack"},
                                             {"CAPACITY", "/capacity/milliCores"},
                                             {"RESERVED", "/reserved/milliCores"},
                                             {"TASKS", "/tasks"}};

const std::vector<TableColumn> jobColumns{{"TEAM", "/spec/team"},
                                          {"JOB", "/spec/id"},
                                          {"STATUS", "/status"},
                                          {"TASKS", "/spec/tasks"},
                                          {"COMPLETED", "/completedTasks"},
                                          {"EVICTIONS", "/evictions"},
                                          {"FAILURES", "/failures"}};

const std::vector<TableColumn> historyColumns{{"VERSION", "/version"},
                                              {"OPERATOR", "/operatorName"},
                                              {"PATCH", "/patchId"},
                                              {"TIME", "/time"}};

const std::vector<TableColumn> memberColumns{{"VM", "/vm"},
                                             {"REPLICA", "/id"},
                                             {"ADDRESS", "/address"},
                                             {"DOMAIN", "/failureDomain"},
                                             {"VOTER", "/voter"}};

using Action = std::function<int(Tool &)>;

void addConfigCommands(CLI::App &app, ToolOptions &options, Action &action)
{
    CLI::App *config = app.add_subcommand("config", "the configuration")->require_subcommand(1);
    config->add_subcommand("show", "the current document and its version")->callback([&] {
        action = [](Tool &tool) { return tool.show("/config"); };
    });
    config->add_subcommand("history", "accepted patches")->callback([&] {
        action = [](Tool &tool) { return tool.show("/config/history", historyColumns); };
    });
    CLI::App *patch = config->add_subcommand("patch", "submit a JSON merge patch");
    patch->add_option("file", options.file, "file, or - for standard input")->required();
    patch->add_option("--base", options.base, "version it was made for (default: the current)");
    patch->add_option("--patch-id", options.patchId, "id, the same when it is sent again");
    patch->add_option("--operator", options.operatorName, "name for the history");
    patch->callback([&] { action = [](Tool &tool) { return tool.patch(false); }; });
    CLI::App *check = config->add_subcommand("check", "what a patch would be refused for");
    check->add_option("file", options.file, "file, or - for standard input")->required();
    check->callback([&] { action = [](Tool &tool) { return tool.patch(true); }; });
}

void addJobCommands(CLI::App &app, ToolOptions &options, Action &action)
{
    CLI::App *job = app.add_subcommand("job", "batch jobs")->require_subcommand(1);
    CLI::App *submit = job->add_subcommand("submit", "submit a job; safe to repeat");
    submit->add_option("--team", options.team)->required();
    submit->add_option("--id", options.id, "unique within the team")->required();
    const auto number = [&, submit](const char *flag, const char *pointer, const char *help) {
        submit->add_option_function<std::int64_t>(
            flag,
            [&options, pointer](const std::int64_t &value) {
                options.job[Json::json_pointer(pointer)] = value;
            },
            help);
    };
    number("--tasks", "/tasks", "number of tasks (default 1)");
    number("--milli-cores", "/size/milliCores", "of each task");
    number("--memory-mb", "/size/memoryMb", "of each task");
    number("--accelerators", "/size/accelerators", "of each task");
    number("--runtime-ms", "/runtimeMs", "declared run time of each task");
    number("--release-at", "/releaseAt", "milliseconds since the epoch");
    number("--due-at", "/dueAt", "milliseconds since the epoch");
    submit->add_option_function<std::string>(
        "--family", [&](const std::string &value) { options.job["family"] = value; },
        "jobs of one family resemble each other");
    submit->add_flag_callback("--urgent", [&] { options.job["urgent"] = true; });
    submit->callback([&] {
        action = [&](Tool &tool) {
            options.job["team"] = options.team;
            options.job["id"] = options.id;
            return tool.post("/jobs", options.job);
        };
    });
    CLI::App *list = job->add_subcommand("list", "jobs, those of one team if given");
    list->add_option("--team", options.team);
    list->callback([&] {
        action = [&](Tool &tool) { return tool.show("/jobs?team=" + options.team, jobColumns); };
    });
    CLI::App *show = job->add_subcommand("show", "one job with its tasks");
    show->add_option("--team", options.team)->required();
    show->add_option("id", options.id)->required();
    show->callback([&] {
        action = [&](Tool &tool) { return tool.show("/jobs/" + options.team + "/" + options.id); };
    });
    CLI::App *cancel = job->add_subcommand("cancel", "cancel jobs; safe to repeat");
    cancel->add_option("--team", options.team)->required();
    cancel->add_option("ids", options.ids)->required();
    cancel->callback([&] {
        action = [&](Tool &tool) {
            return tool.post("/jobs/cancel", {{"team", options.team}, {"jobs", options.ids}});
        };
    });
}

void addClusterCommands(CLI::App &app, ToolOptions &options, Action &action)
{
    app.add_subcommand("status", "the cluster as the leader sees it")->callback([&] {
        action = [](Tool &tool) { return tool.show("/status"); };
    });
    app.add_subcommand("replica", "the control replica at the administration address")
        ->callback([&] { action = [](Tool &tool) { return tool.show("/replica"); }; });
    app.add_subcommand("bootstrap", "start a new cluster at the administration address; only once")
        ->callback(
            [&] { action = [](Tool &tool) { return tool.post("/bootstrap", Json::object()); }; });
    CLI::App *workers = app.add_subcommand("workers", "the workers; drain takes one out of use");
    CLI::App *drain = workers->add_subcommand("drain", "start no new tasks there");
    drain->add_option("worker", options.vm)->required();
    drain->add_flag("--undo", options.undo, "use it again");
    drain->callback([&] {
        action = [&](Tool &tool) {
            return tool.post("/workers/drain",
                             {{"worker", options.vm}, {"draining", !options.undo}});
        };
    });
    workers->callback([&, drain] {
        if (!drain->parsed())
            action = [](Tool &tool) { return tool.show("/workers", workerColumns); };
    });
    CLI::App *evacuate = app.add_subcommand(
        "evacuate", "start nothing more in a failure domain of a fleet; safe to repeat");
    evacuate->add_option("domain", options.domain)->required();
    evacuate->add_flag("--undo", options.undo, "take it back");
    evacuate->callback(
        [&] { action = [&](Tool &tool) { return tool.evacuate(options.domain, options.undo); }; });
    CLI::App *members =
        app.add_subcommand("members", "the control replicas")->require_subcommand(1);
    members->add_subcommand("list", "all members")->callback([&] {
        action = [](Tool &tool) { return tool.show("/members", memberColumns); };
    });
    for (const char *verb : {"add", "remove"}) {
        CLI::App *change = members->add_subcommand(
            verb, std::string(verb) == "add" ? "make a learner a voter" : "remove a member");
        change->add_option("vm", options.vm)->required();
        change->callback([&, verb] {
            action = [&, verb](Tool &tool) {
                return tool.post(std::string("/members/") + verb, {{"vm", options.vm}});
            };
        });
    }
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("guavashift: the operators' tool\n"
                 "Exit codes: 0 done, 1 nobody answered, 2 wrong usage, 3 refused",
                 "guavashift");
    app.set_version_flag("--version", GUAVASHIFT_VERSION);
    app.require_subcommand(1);
    app.fallthrough();
    ToolOptions options;
    app.add_option("--admin", options.admin, "IP:port of administration endpoints; repeatable")
        ->envname("GUAVASHIFT_ADMIN")
        ->delimiter(',');
    app.add_option("--token", options.token, "operator token")
        ->envname("GUAVASHIFT_OPERATOR_TOKEN");
    app.add_option("--output", options.output, "table or json")
        ->check(CLI::IsMember({"table", "json"}));
    Action action;
    addClusterCommands(app, options, action);
    addConfigCommands(app, options, action);
    addJobCommands(app, options, action);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? exitDone : exitUsage;
    }
    Tool tool(options);
    return action(tool);
}
