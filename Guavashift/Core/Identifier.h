#pragma once

#include <compare>
#include <fmt/format.h>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace guavashift {

/// String identifier of one kind of object. Identifiers of different kinds do not convert into each
/// other.
template <typename Tag> struct Identifier
{
    std::string value;

    auto operator<=>(const Identifier &) const = default;
    [[nodiscard]] bool isEmpty() const { return value.empty(); }
};

template <typename Tag>
void to_json(nlohmann::json &json, const Identifier<Tag> &identifier) // NOLINT
{
    json = identifier.value;
}

template <typename Tag>
void from_json(const nlohmann::json &json, Identifier<Tag> &identifier) // NOLINT
{
    identifier.value = json.get<std::string>();
}

using WorkerId = Identifier<struct WorkerTag>;
using ServiceId = Identifier<struct ServiceTag>;
using TeamId = Identifier<struct TeamTag>;
using TaskId = Identifier<struct TaskTag>;
using FailureDomain = Identifier<struct FailureDomainTag>;
using RackId = Identifier<struct RackTag>;
using RequestId = Identifier<struct RequestTag>;
/// One control process with one disk: the VM's name and the incarnation of its data folder.
using ReplicaId = Identifier<struct ReplicaTag>;
/// Chosen at random at each start of an agent.
using Incarnation = Identifier<struct IncarnationTag>;

} // namespace guavashift

template <typename Tag> struct std::hash<guavashift::Identifier<Tag>>
{
    std::size_t operator()(const guavashift::Identifier<Tag> &identifier) const noexcept
    {
        return std::hash<std::string>()(identifier.value);
    }
};

template <typename Tag>
struct fmt::formatter<guavashift::Identifier<Tag>> : fmt::formatter<std::string>
{
    template <typename Context>
    auto format(const guavashift::Identifier<Tag> &identifier, Context &context) const
    {
        return fmt::formatter<std::string>::format(identifier.value, context);
    }
};
