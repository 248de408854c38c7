#include <PerformanceTest/LoadReport.h>
#include <PerformanceTest/LoadRun.h>
#include <PerformanceTest/OrderAudit.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>

using namespace guavashift;

namespace {

constexpr int exitCorrect = 0;
constexpr int exitIncorrect = 1;

void writeFile(const std::string &path, const std::string &text)
{
    if (!path.empty())
        std::ofstream(path) << text;
}

bool isCorrect(const LoadResult &result, const AuditResult *audit)
{
    const bool ordersCorrect = audit == nullptr
        || (audit->duplicatedOrders == 0 && audit->lostOrders == 0 && audit->falseNotRun == 0
            && audit->overlappingTasks == 0 && audit->repeatedAttempts == 0);
    return ordersCorrect && result.wrong == 0 && result.answered > 0;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App app("Sends callers' requests to running entries and checks every answer.\n"
                 "Exit code 0 if nothing was wrong, lost or duplicated");
    LoadSettings settings;
    std::vector<std::string> records;
    std::string report;
    std::string svg;
    bool quiet = false;
    bool strict = false;
    app.add_option("--entry", settings.entries, "IP:port; repeatable")->required()->delimiter(',');
    app.add_option("--path", settings.path, "path and query of plain requests");
    app.add_option("--order-path", settings.orderPath, "path and query of orders");
    app.add_option("--rate", settings.requestsPerSecond,
                   "requests a second; 0: as fast as answered");
    app.add_option("--threads", settings.threads, "concurrent requests");
    app.add_option("--seconds", settings.seconds, "length of the run");
    app.add_option("--requests", settings.maxRequests, "maximum number of requests; 0: no limit");
    app.add_option("--order-percent", settings.orderPercent, "share of orders with a key");
    app.add_option("--resend-percent", settings.resendPercent, "share of orders sent twice");
    app.add_option("--seed", settings.seed, "seed of the run; part of all ids");
    app.add_option("--records", records, "stand-ins' record files to check against")
        ->delimiter(',');
    app.add_option("--report", report, "file for the report with a line for each second");
    app.add_option("--svg", svg, "file for a plot of latencies over time");
    app.add_flag("--quiet", quiet, "no progress line");
    app.add_flag("--strict", strict, "refused and unanswered requests count as wrong too");
    CLI11_PARSE(app, argc, argv);
    settings.progress = !quiet;
    settings.freshConnections = strict;

    const LoadResult result = LoadRun(settings).run();
    AuditResult audit;
    const AuditResult *audited = nullptr;
    if (!records.empty()) {
        audit = auditRecords(records, result.orders);
        audited = &audit;
    }
    const std::string text = formatReport(result, audited);
    const std::vector<LoadSecond> seconds = perSecond(result.samples);
    std::fputs(text.c_str(), stdout);
    writeFile(report, text + "\n" + formatSeconds(seconds));
    writeFile(svg, formatSvg(seconds));
    const bool interrupted = result.notRun + result.unknown + result.lost > 0;
    return isCorrect(result, audited) && !(strict && interrupted) ? exitCorrect : exitIncorrect;
}
