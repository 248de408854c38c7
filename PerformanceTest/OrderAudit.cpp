#include <PerformanceTest/OrderAudit.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace guavashift {

namespace {

struct Interval
{
    std::int64_t startMs = 0;
    std::int64_t endMs = INT64_MAX;
    std::uint64_t attempt = 0;
};

struct Records
{
    std::map<std::string, std::uint64_t> runs;
    std::map<std::string, std::vector<Interval>> tasks;
};

void readFile(const std::string &path, Records &records)
{
    std::ifstream stream(path);
    std::map<std::string, std::size_t> open;
    for (std::string line; std::getline(stream, line);) {
        std::istringstream words(line);
        std::string kind;
        std::string name;
        words >> kind >> name;
        if (kind == "run") {
            ++records.runs[name];
            continue;
        }
        std::uint64_t attempt = 0;
        std::int64_t atMs = 0;
        words >> attempt >> atMs;
        std::vector<Interval> &intervals = records.tasks[name];
        if (kind == "start") {
            open[name] = intervals.size();
            intervals.push_back({atMs, INT64_MAX, attempt});
        } else if (kind == "end" && open.contains(name)) {
            intervals[open[name]].endMs = atMs;
        }
    }
}

void auditTask(std::vector<Interval> intervals, AuditResult &result)
{
    result.taskStarts += intervals.size();
    std::sort(intervals.begin(), intervals.end(),
              [](const Interval &a, const Interval &b) { return a.startMs < b.startMs; });
    std::set<std::uint64_t> attempts;
    bool overlaps = false;
    for (std::size_t i = 0; i < intervals.size(); ++i) {
        if (!attempts.insert(intervals[i].attempt).second)
            ++result.repeatedAttempts;
        overlaps = overlaps || (i > 0 && intervals[i].startMs < intervals[i - 1].endMs);
    }
    result.overlappingTasks += overlaps ? 1 : 0;
}

} // namespace

AuditResult auditRecords(const std::vector<std::string> &files,
                         const std::vector<OrderRecord> &orders)
{
    Records records;
    for (const std::string &file : files)
        readFile(file, records);
    AuditResult result;
    for (const auto &[order, runs] : records.runs)
        result.duplicatedOrders += runs > 1 ? 1 : 0;
    for (const OrderRecord &order : orders) {
        const bool ran = records.runs.contains(order.id);
        result.lostOrders += order.answered && !ran ? 1 : 0;
        result.falseNotRun += order.onlyNotRun && ran ? 1 : 0;
    }
    for (const auto &[task, intervals] : records.tasks)
        auditTask(intervals, result);
    return result;
}

} // namespace guavashift
