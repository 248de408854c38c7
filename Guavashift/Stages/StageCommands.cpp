#include <Guavashift/Stages/StageCommands.h>

namespace guavashift {

namespace {

enum class Kind { Configuration, Accept, Cancel, Start, End, Evacuate, TakeBack };

Json encodeTask(const TaskRef &ref)
{
    return Json::array({ref.job, ref.occurrence, ref.step, ref.task});
}

TaskRef decodeTask(const Json &json)
{
    return {json.at(0).get<std::string>(), json.at(1).get<std::uint32_t>(),
            json.at(2).get<std::uint32_t>(), json.at(3).get<std::uint32_t>()};
}

Json encodeCommand(const StageCommand &command)
{
    return std::visit(Overloaded{[](const ReplaceConfiguration &replace) {
                                     return Json::array({Kind::Configuration, replace.document});
                                 },
                                 [](const AcceptJob &accept) {
                                     return Json::array({Kind::Accept, accept.job, accept.queue,
                                                         accept.plan, accept.mayLackQueue});
                                 },
                                 [](const CancelJob &cancel) {
                                     return Json::array({Kind::Cancel, cancel.job});
                                 },
                                 [](const StartRun &start) {
                                     return Json::array({Kind::Start, encodeTask(start.task),
                                                         start.run, start.lifetime.worker,
                                                         start.lifetime.startedAt, start.path.node,
                                                         start.path.hasAnswered});
                                 },
                                 [](const EndRun &end) {
                                     return Json::array({Kind::End, encodeTask(end.task), end.run,
                                                         end.end, end.checkpoint, end.evidence});
                                 },
                                 [](const EvacuateDomain &evacuate) {
                                     return Json::array({Kind::Evacuate, evacuate.domain});
                                 },
                                 [](const TakeBackDomain &takeBack) {
                                     return Json::array({Kind::TakeBack, takeBack.domain});
                                 }},
                      command);
}

StageCommand decodeCommand(const Json &json)
{
    switch (json.at(0).get<Kind>()) {
    case Kind::Configuration:
        return ReplaceConfiguration{json.at(1).get<std::string>()};
    case Kind::Accept:
        return AcceptJob{json.at(1).get<std::string>(), json.at(2).get<std::string>(),
                         json.at(3).get<JobPlan>(), json.size() <= 4 || json.at(4).get<bool>()};
    case Kind::Cancel:
        return CancelJob{json.at(1).get<std::string>()};
    case Kind::Start: {
        StartRun start{decodeTask(json.at(1)),
                       json.at(2).get<std::uint32_t>(),
                       {json.at(3).get<std::string>(), json.at(4).get<std::int64_t>()},
                       {}};
        // Entries of earlier versions have no path.
        if (json.size() > 6)
            start.path = {json.at(5).get<std::string>(), json.at(6).get<bool>()};
        return start;
    }
    case Kind::End: {
        EndRun end{decodeTask(json.at(1)), json.at(2).get<std::uint32_t>(),
                   json.at(3).get<RunEnd>(), json.at(4).get<std::string>(), CrashEvidence::None};
        // Entries of earlier versions have no evidence.
        if (json.size() > 5)
            json.at(5).get_to(end.evidence);
        return end;
    }
    case Kind::Evacuate:
        return EvacuateDomain{json.at(1).get<std::string>()};
    case Kind::TakeBack:
        return TakeBackDomain{json.at(1).get<std::string>()};
    }
    throw Json::other_error::create(501, "unknown kind of command", &json);
}

} // namespace

std::string StageBatch::encode() const
{
    Json list = Json::array();
    for (const StageCommand &command : commands)
        list.push_back(encodeCommand(command));
    std::string bytes;
    Json::to_cbor(Json::array({time, std::move(list)}), bytes);
    return bytes;
}

StageBatch StageBatch::decode(std::string_view bytes)
{
    const Json json = Json::from_cbor(bytes);
    StageBatch batch;
    batch.time = json.at(0).get<WallMs>();
    for (const Json &command : json.at(1))
        batch.commands.push_back(decodeCommand(command));
    return batch;
}

} // namespace guavashift
