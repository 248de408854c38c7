#include <PerformanceTest/LoadReport.h>

#include <algorithm>
#include <cmath>

namespace guavashift {

namespace {

constexpr double plotWidth = 900;
constexpr double plotHeight = 360;
constexpr double plotMargin = 50;

std::string polyline(const std::vector<LoadSecond> &seconds, double LoadSecond::*value,
                     double maxMs, const char *color)
{
    std::string points;
    const double lastAt = std::max(1.0, seconds.back().at);
    for (const LoadSecond &second : seconds) {
        const double x = plotMargin + second.at / lastAt * (plotWidth - 2 * plotMargin);
        const double y =
            plotHeight - plotMargin - second.*value / maxMs * (plotHeight - 2 * plotMargin);
        points += fmt::format("{:.1f},{:.1f} ", x, y);
    }
    return fmt::format("<polyline fill=\"none\" stroke=\"{}\" stroke-width=\"2\" points=\"{}\"/>\n",
                       color, points);
}

} // namespace

double percentileMs(std::vector<LoadSample> samples, double percent)
{
    std::erase_if(samples, [](const LoadSample &sample) { return !sample.succeeded; });
    if (samples.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(std::ceil(percent / 100 * samples.size()));
    const auto at =
        samples.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
    std::nth_element(
        samples.begin(), at, samples.end(),
        [](const LoadSample &a, const LoadSample &b) { return a.latency < b.latency; });
    return std::chrono::duration<double, std::milli>(at->latency).count();
}

std::vector<LoadSecond> perSecond(const std::vector<LoadSample> &samples)
{
    std::map<int, std::vector<LoadSample>> bySecond;
    for (const LoadSample &sample : samples)
        bySecond[static_cast<int>(sample.atSeconds)].push_back(sample);
    std::vector<LoadSecond> seconds;
    for (const auto &[at, part] : bySecond) {
        LoadSecond second;
        second.at = at;
        second.succeeded = static_cast<std::uint64_t>(std::count_if(
            part.begin(), part.end(), [](const LoadSample &sample) { return sample.succeeded; }));
        second.refused = part.size() - second.succeeded;
        second.p50Ms = percentileMs(part, 50);
        second.p99Ms = percentileMs(part, 99);
        seconds.push_back(second);
    }
    return seconds;
}

std::string formatReport(const LoadResult &result, const AuditResult *audit)
{
    std::string text;
    const auto line = [&](std::string_view name, const auto &value) {
        text += fmt::format("{:<28}{}\n", name, value);
    };
    line("requests sent", result.sent);
    line("answered", result.answered);
    line("wrong or short answers", result.wrong);
    line("refused as not run", result.notRun);
    line("refused as unknown", result.unknown);
    for (const auto &[reason, count] : result.refusals)
        line("  refusal", fmt::format("{} times {}", count, reason.substr(0, reason.find('\n'))));
    line("no answer from the entry", result.lost);
    line("orders", result.orders.size());
    line("orders sent again", result.resent);
    line("orders never answered",
         std::count_if(result.orders.begin(), result.orders.end(),
                       [](const OrderRecord &order) { return !order.answered; }));
    if (audit != nullptr) {
        line("doubled orders", audit->duplicatedOrders);
        line("answered but never run", audit->lostOrders);
        line("said not run, but run", audit->falseNotRun);
        line("task starts", audit->taskStarts);
        line("doubled runs of a task", audit->overlappingTasks + audit->repeatedAttempts);
    }
    line("answers per second", fmt::format("{:.0f}", result.answered / result.seconds));
    line("latency p50 ms", fmt::format("{:.2f}", percentileMs(result.samples, 50)));
    line("latency p99 ms", fmt::format("{:.2f}", percentileMs(result.samples, 99)));
    line("latency p99.9 ms", fmt::format("{:.2f}", percentileMs(result.samples, 99.9)));
    return text;
}

std::string formatSeconds(const std::vector<LoadSecond> &seconds)
{
    std::string text = "second    good  refused    p50 ms    p99 ms\n";
    for (const LoadSecond &second : seconds)
        text += fmt::format("{:6.0f}{:8}{:9}{:10.2f}{:10.2f}\n", second.at, second.succeeded,
                            second.refused, second.p50Ms, second.p99Ms);
    return text;
}

std::string formatSvg(const std::vector<LoadSecond> &seconds)
{
    std::string svg = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" "
                                  "height=\"{}\" font-family=\"sans-serif\" font-size=\"12\">\n",
                                  plotWidth, plotHeight);
    svg += "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    if (!seconds.empty()) {
        double maxMs = 1;
        for (const LoadSecond &second : seconds)
            maxMs = std::max(maxMs, second.p99Ms);
        svg += fmt::format("<text x=\"5\" y=\"{}\">{:.1f} ms</text>\n", plotMargin, maxMs);
        svg += fmt::format("<text x=\"5\" y=\"{}\">0</text>\n", plotHeight - plotMargin);
        svg += fmt::format("<text x=\"{}\" y=\"{}\">{:.0f} s</text>\n", plotWidth - plotMargin,
                           plotHeight - plotMargin / 2, seconds.back().at);
        svg += polyline(seconds, &LoadSecond::p50Ms, maxMs, "#2266aa");
        svg += polyline(seconds, &LoadSecond::p99Ms, maxMs, "#bb3322");
        svg += "<text x=\"60\" y=\"20\" fill=\"#2266aa\">median</text>\n";
        svg += "<text x=\"130\" y=\"20\" fill=\"#bb3322\">99th percentile</text>\n";
    }
    return svg + "</svg>\n";
}

} // namespace guavashift
