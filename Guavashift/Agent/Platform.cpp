#include <Guavashift/Agent/Platform.h>

namespace guavashift {

void to_json(Json &json, const PlatformTask &task)
{
    json = {{"task", task.task},     {"attempt", task.attempt},
            {"state", task.state},   {"checkpoint", task.checkpoint},
            {"doneMs", task.doneMs}, {"speedPercent", task.speedPercent}};
    if (task.usage)
        json["usage"] = *task.usage;
}

void from_json(const Json &json, PlatformTask &task)
{
    json.at("task").get_to(task.task);
    json.at("attempt").get_to(task.attempt);
    json.at("state").get_to(task.state);
    task.checkpoint = json.value("checkpoint", std::string());
    task.doneMs = json.value("doneMs", std::int64_t(0));
    task.speedPercent = json.value("speedPercent", std::uint32_t(100));
    if (json.contains("usage"))
        task.usage = json["usage"].get<UsageReport>();
}

} // namespace guavashift
