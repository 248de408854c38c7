#include <Guavashift/State/Commands.h>

namespace guavashift {

std::string CommandBatch::encode() const
{
    Json list = Json::array();
    for (const CommandBody &command : commands)
        list.push_back(variantToJson(command));
    return Json{{"time", time}, {"commands", std::move(list)}}.dump(-1, ' ', false,
                                                                    Json::error_handler_t::replace);
}

CommandBatch CommandBatch::decode(std::string_view bytes)
{
    const Json json = Json::parse(bytes);
    CommandBatch batch;
    batch.time = json.at("time").get<WallMs>();
    for (const Json &command : json.at("commands"))
        batch.commands.push_back(variantFromJson<CommandBody>(command));
    return batch;
}

} // namespace guavashift
