#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace guavashift {

using Json = nlohmann::json;

/// Writes a variant of structs as the active struct's members plus a member "kind". Each struct
/// declares its kind as `static constexpr std::string_view kind`.
template <typename... Alternatives> Json variantToJson(const std::variant<Alternatives...> &variant)
{
    return std::visit(
        [](const auto &alternative) {
            Json json = alternative;
            json["kind"] = std::string(alternative.kind);
            return json;
        },
        variant);
}

/// Reads what variantToJson() wrote. Throws nlohmann::json::exception for an unknown kind.
template <typename Variant> struct VariantReader;

template <typename... Alternatives> struct VariantReader<std::variant<Alternatives...>>
{
    static std::variant<Alternatives...> read(const Json &json)
    {
        const std::string kind = json.at("kind").get<std::string>();
        std::optional<std::variant<Alternatives...>> result;
        (void)((kind == Alternatives::kind && (result = json.template get<Alternatives>(), true))
               || ...);
        if (!result)
            throw Json::other_error::create(501, "unknown kind " + kind, &json);
        return *result;
    }
};

template <typename Variant> Variant variantFromJson(const Json &json)
{
    return VariantReader<Variant>::read(json);
}

} // namespace guavashift
