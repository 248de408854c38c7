#include <platform/Platform.h>

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <random>

using namespace guavashift;
using namespace guavashift::platform;

namespace {

constexpr std::string_view jobText =
    R"j({"task_spec":"(text)","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,)j"
    R"j("data_rack":"r1-3"},{"count":20,"cpu":2000,"mem_mb":1024,"after":[0],"checkpointing":true,)j"
    R"j("fills":true,"image":"x","unheard_of":{"a":[1]}}]})j";

constexpr std::string_view configurationText =
    R"({"version":7,"routes":[{"name":"r","host":"a.example","path_prefix":"/p/",)"
    R"("route_kind":"unsafe","timeout_ms":3000,"target_latency_ms":250,"priority":2,)"
    R"("service":"s","max_attempts":3,"stretch":1.5}],)"
    R"("services":[{"name":"s","enforces_capacity":true,"standby":false}],"limits":{}})";

std::string replaced(std::string_view text, const std::string &from, const std::string &to)
{
    std::string result(text);
    result.replace(result.find(from), from.size(), to);
    return result;
}

} // namespace

/// Conversion of the platform's bodies and of its settings file.
class WireFormatTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WireFormatTest);
    CPPUNIT_TEST(readsAJob);
    CPPUNIT_TEST(refusesBrokenJobs);
    CPPUNIT_TEST(refusesNumbersThatDoNotFit);
    CPPUNIT_TEST(readsAConfiguration);
    CPPUNIT_TEST(refusesBrokenConfigurations);
    CPPUNIT_TEST(readsReports);
    CPPUNIT_TEST(readsWorkerReplies);
    CPPUNIT_TEST(tellsWhetherAllEndsAreListed);
    CPPUNIT_TEST(takesUnreadableListsForNoAnswer);
    CPPUNIT_TEST(readsAnswersWithoutLists);
    CPPUNIT_TEST(survivesAnyBytes);
    CPPUNIT_TEST(readsSettings);
    CPPUNIT_TEST(reportsAllFindingsInSettings);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsAJob()
    {
        const auto plan = readJob(jobText);
        CPPUNIT_ASSERT(plan);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, plan->steps.size());
        CPPUNIT_ASSERT_EQUAL(20U, plan->steps[1].tasks);
        CPPUNIT_ASSERT(plan->steps[1].checkpoints && plan->steps[1].bestEffort);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{500}, plan->steps[0].size.milliCores);
        // The encoding used between processes preserves the plan.
        CPPUNIT_ASSERT(Json(*plan).get<JobPlan>() == *plan);
    }

    void refusesBrokenJobs()
    {
        CPPUNIT_ASSERT(!readJob(jobText.substr(0, jobText.size() / 2)));
        CPPUNIT_ASSERT(!readJob(replaced(jobText, "[0]", "[1]")));
        CPPUNIT_ASSERT(!readJob(replaced(jobText, R"("count":4)", R"("count":"4")")));
        CPPUNIT_ASSERT(!readJob(replaced(jobText, R"("count":4)", R"("count":-4)")));
        CPPUNIT_ASSERT(!readJob(replaced(jobText, R"("count":4)", R"("count":99999999)")));
        CPPUNIT_ASSERT(!readJob(R"({"task_spec":"x","steps":[]})"));
        CPPUNIT_ASSERT(!readJob("[]"));
    }

    /// Guards against a job that runs a few times instead of some thousand million times, since the
    /// upper digits of a number were lost.
    void refusesNumbersThatDoNotFit()
    {
        const auto read = [](const std::string &schedule) {
            return readJob(R"({"task_spec":"t","steps":[{"count":1}],"first_run_ms":1,)" + schedule
                           + "}");
        };
        CPPUNIT_ASSERT(read(R"("repeat_count":4294967295,"interval_ms":60000)"));
        CPPUNIT_ASSERT(!read(R"("repeat_count":4294967297,"interval_ms":60000)"));
        // The last occurrence would be due beyond the range of times.
        CPPUNIT_ASSERT(!read(R"("repeat_count":4294967295,"interval_ms":4503599627370496)"));
    }

    void readsAConfiguration()
    {
        const auto table = readConfiguration(configurationText);
        CPPUNIT_ASSERT(table);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, table->version());
        const auto match = table->match("a.example", "/p/0123");
        CPPUNIT_ASSERT(match);
        CPPUNIT_ASSERT_EQUAL(std::string("0123"), std::string(match->remainder));
        CPPUNIT_ASSERT(!table->match("b.example", "/p/0123"));
        CPPUNIT_ASSERT(!table->match("a.example", "/q/0123"));
    }

    void refusesBrokenConfigurations()
    {
        const std::string_view text = configurationText;
        CPPUNIT_ASSERT(!readConfiguration(text.substr(0, text.size() - 9)));
        CPPUNIT_ASSERT(
            !readConfiguration(replaced(text, R"("service":"s")", R"("service":"other")")));
        CPPUNIT_ASSERT(
            !readConfiguration(replaced(text, R"("timeout_ms":3000)", R"("timeout_ms":0)")));
        const std::string route(text.substr(text.find("{\"name\":\"r\""),
                                            text.find("}]") - text.find("{\"name\":\"r\"") + 1));
        CPPUNIT_ASSERT(!readConfiguration(replaced(text, route, route + "," + route)));
    }

    void readsReports()
    {
        const std::string_view text =
            R"({"service":"s","address":"10.0.0.9:8080","zone":"z","state":"draining",)"
            R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],)"
            R"("clock_ms":4821,"sequence":4,"born":1700000000000,"remaining_ms":900,"cold_remaining_ms":700})";
        const auto report = readReport("i-1", text);
        CPPUNIT_ASSERT(report);
        CPPUNIT_ASSERT(report->facts.draining);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{700}, report->facts.coldLeftMs);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'700'000'000'000}, report->facts.lifetime.startedAt);
        CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), std::string(report->facts.rack()));
        CPPUNIT_ASSERT(!readReport("i-1", replaced(text, "draining", "dreaming")));
        // Fields whose value is 0 are omitted.
        const auto empty = readReport(
            "i-1", R"({"service":"s","state":"ready","sequence":5,"capacity":{},"labels":["a"]})");
        CPPUNIT_ASSERT(empty);
        CPPUNIT_ASSERT(Resources() == empty->facts.capacity);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, empty->facts.coldLeftMs);
        CPPUNIT_ASSERT(!readReport("i-1", replaced(text, "\"sequence\":4,", "")));
    }

    void readsWorkerReplies()
    {
        const WorkerReply reply = readWorkerReply(
            200,
            R"({"clock_ms":5,"born":9,"running":[["j.0.1.17",2,"cp",41,12.5],["bad",1,"",0]],)"
            R"("ended":[[58,"j.0.1.9",1,"done",""]]})");
        CPPUNIT_ASSERT(WorkerCallResult::Done == reply.result);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reply.running.size());
        CPPUNIT_ASSERT_EQUAL(12.5, reply.running[0].measurement);
        CPPUNIT_ASSERT(RunEnd::Done == reply.ended.at(0).end.end);
        CPPUNIT_ASSERT(WorkerCallResult::FencedOff
                       == readWorkerReply(409, R"({"reason":"fence"})").result);
        CPPUNIT_ASSERT(WorkerCallResult::OtherLifetime == readWorkerReply(421, "").result);
        CPPUNIT_ASSERT(WorkerCallResult::Unhealthy == readWorkerReply(503, "x").result);
    }

    /// Guards against a part of a worker's ends that is taken for all of them.
    void tellsWhetherAllEndsAreListed()
    {
        Json ended = Json::array();
        for (int number = 1; number < 500; ++number)
            ended.push_back({number, "j.0.1.9", 1, "done", ""});
        CPPUNIT_ASSERT(readWorkerReply(200, Json{{"ended", ended}}.dump()).listsAllEnds);
        // Entries that cannot be read count as well.
        ended.push_back({500, "unreadable", 1, "done", ""});
        CPPUNIT_ASSERT(!readWorkerReply(200, Json{{"ended", ended}}.dump()).listsAllEnds);
    }

    /// Guards against runs that are settled as never started although they work: their worker's
    /// list could not be read.
    void takesUnreadableListsForNoAnswer()
    {
        for (const std::string_view body :
             {"", "x", "[]", "null", "7", R"({"clock_ms":5,"running":[)", "{}", R"({"running":[]})",
              R"({"clock_ms":"5","running":[],"ended":[]})",
              R"({"clock_ms":5,"running":null,"ended":[]})",
              R"({"clock_ms":5,"running":{},"ended":[]})",
              R"({"clock_ms":5,"running":[],"ended":null})"}) {
            const WorkerReply reply = readLists(200, body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(body),
                                         std::string(nameOf(WorkerCallResult::NoAnswer)),
                                         std::string(nameOf(reply.result)));
        }
        const WorkerReply reply =
            readLists(200, R"({"clock_ms":5,"running":[["j.0.1.17",2,"",41]],"ended":[]})");
        CPPUNIT_ASSERT(WorkerCallResult::Done == reply.result);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reply.running.size());
        // Refusals have no lists.
        CPPUNIT_ASSERT(WorkerCallResult::FencedOff
                       == readLists(409, R"({"clock_ms":5,"reason":"fence"})").result);
        CPPUNIT_ASSERT(WorkerCallResult::OtherLifetime == readLists(421, "").result);
    }

    /// Guards against a start that counts as unanswered because its answer is short.
    void readsAnswersWithoutLists()
    {
        for (const std::string_view body : {"", "{}", R"({"clock_ms":482113})"})
            CPPUNIT_ASSERT(WorkerCallResult::Done == readWorkerReply(200, body).result);
    }

    void survivesAnyBytes()
    {
        std::mt19937 random(20261); // NOLINT: the same bytes every time
        for (int i = 0; i < 3000; ++i) {
            std::string text(i % 2 == 0 ? jobText : configurationText);
            for (int change = 0; change < 4; ++change)
                text[random() % text.size()] = static_cast<char>(random() % 256);
            text.resize(random() % (text.size() + 1));
            (void)readJob(text);
            (void)readConfiguration(text);
            (void)readReport("i", text);
            (void)readWorkerReply(200, text);
            (void)readLists(200, text);
            (void)decodeFrame(text);
        }
    }

    void readsSettings()
    {
        const auto settings =
            read("node_name = \"side-1\"\nzone = \"z\"\nip = \"10.0.0.1\"\n"
                 "internal_ports = [7720,7735]\n"
                 "seed_nodes = [\"10.0.0.2:8166\"]\nbootstrap = true\n"
                 "app = \"10.0.0.1:8165\"\nunheard_of = 3\n"
                 "[bounds]\nmax_hold_ms = 8000\ngrace_s = 2.5\nevacuate_ms = 3000\n"
                 "cold_overshoot = 1.5\ncold_slack = 5\n"
                 "[fault_tolerance]\nmachines = 2\n");
        CPPUNIT_ASSERT(settings);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:7720"), settings->fleet.seeds.at(0));
        CPPUNIT_ASSERT(settings->fleet.bounds.maxWorkerLease == std::chrono::seconds(8));
        CPPUNIT_ASSERT(settings->fleet.bounds.processGrace == std::chrono::milliseconds(2500));
        CPPUNIT_ASSERT_EQUAL(2U, settings->fleet.bounds.toleratedDiskLosses);
        CPPUNIT_ASSERT(settings->fleet.bounds.evacuationLimit == std::chrono::seconds(3));
        CPPUNIT_ASSERT_EQUAL(1.5, settings->fleet.bounds.coldOvershoot);
        CPPUNIT_ASSERT_EQUAL(5.0, settings->fleet.bounds.coldSlack);
    }

    void reportsAllFindingsInSettings()
    {
        const auto settings = read("node_name = 3\nip = \"10.0.0.1\"\ninternal_ports = []\n"
                                   "seed_nodes = [\"not an address\"]\n"
                                   "[bounds]\nmax_hold_ms = \"long\"\n");
        CPPUNIT_ASSERT(!settings);
        CPPUNIT_ASSERT(settings.error().size() >= 4);
    }

private:
    static tl::expected<PlatformSettings, Findings> read(const std::string &text)
    {
        const std::string path =
            (std::filesystem::temp_directory_path() / fmt::format("settings-{}", ::getpid()))
                .string();
        std::ofstream(path) << text;
        auto settings = readSettings(path);
        std::filesystem::remove(path);
        return settings;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireFormatTest);
