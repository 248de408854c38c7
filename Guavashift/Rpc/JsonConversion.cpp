#include <Guavashift/Rpc/JsonConversion.h>

namespace guavashift {

Json fromJsonCpp(const ::Json::Value &value)
{
    switch (value.type()) {
    case ::Json::nullValue:
        return nullptr;
    case ::Json::intValue:
        return value.asInt64();
    case ::Json::uintValue:
        return value.asUInt64();
    case ::Json::realValue:
        return value.asDouble();
    case ::Json::stringValue:
        return value.asString();
    case ::Json::booleanValue:
        return value.asBool();
    case ::Json::arrayValue: {
        Json array = Json::array();
        for (const ::Json::Value &item : value)
            array.push_back(fromJsonCpp(item));
        return array;
    }
    case ::Json::objectValue:
        break;
    }
    Json object = Json::object();
    for (auto item = value.begin(); item != value.end(); ++item)
        object[item.name()] = fromJsonCpp(*item);
    return object;
}

::Json::Value toJsonCpp(const Json &value)
{
    switch (value.type()) {
    case Json::value_t::number_integer:
        return static_cast<::Json::Int64>(value.get<std::int64_t>());
    case Json::value_t::number_unsigned:
        return static_cast<::Json::UInt64>(value.get<std::uint64_t>());
    case Json::value_t::number_float:
        return value.get<double>();
    case Json::value_t::string:
        return value.get_ref<const std::string &>();
    case Json::value_t::boolean:
        return value.get<bool>();
    case Json::value_t::array: {
        ::Json::Value array(::Json::arrayValue);
        for (const Json &item : value)
            array.append(toJsonCpp(item));
        return array;
    }
    case Json::value_t::object: {
        ::Json::Value object(::Json::objectValue);
        for (const auto &[key, item] : value.items())
            object[key] = toJsonCpp(item);
        return object;
    }
    default:
        return ::Json::Value();
    }
}

} // namespace guavashift
