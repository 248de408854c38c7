#include <Guavashift/Consensus/DataFolder.h>

namespace guavashift {

namespace {

constexpr std::string_view identityName = "identity";
/// Exists while the state in the folder is wrong.
constexpr std::string_view wrongStateName = "wrong-state";

/// Content of the file `identity`.
struct Identity
{
    std::string cluster;
    std::string vm;
    std::string incarnation;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Identity, cluster, vm, incarnation)

} // namespace

DataFolder::DataFolder(std::filesystem::path path, ReplicaId replica)
    : m_path(std::move(path))
    , m_replica(std::move(replica))
{
}

Result<DataFolder> DataFolder::open(const std::filesystem::path &path, std::string_view clusterId,
                                    std::string_view vm, std::uint64_t randomNumber)
{
    return openWithIncarnation(path, clusterId, vm, hexOf(randomNumber));
}

Result<DataFolder> DataFolder::renew(const std::filesystem::path &path, std::string_view clusterId,
                                     std::string_view vm, std::uint64_t randomNumber)
{
    return create(path, clusterId, vm, hexOf(randomNumber));
}

Result<DataFolder> DataFolder::create(const std::filesystem::path &path, std::string_view clusterId,
                                      std::string_view vm, std::string_view incarnation)
{
    std::error_code error;
    std::filesystem::create_directories(path, error);
    const Identity identity{std::string(clusterId), std::string(vm), std::string(incarnation)};
    if (Result<void> stored = replaceFile(path / identityName, Json(identity).dump()); !stored)
        return tl::unexpected(stored.error());
    return DataFolder(path, ReplicaId{identity.vm + "/" + identity.incarnation});
}

Result<DataFolder> DataFolder::openWithIncarnation(const std::filesystem::path &path,
                                                   std::string_view clusterId, std::string_view vm,
                                                   std::string_view incarnation)
{
    std::error_code error;
    if (std::filesystem::create_directories(path, error); error)
        return fail(ErrorCode::Io, fmt::format("{}: {}", path.string(), error.message()));
    const Result<std::string> content = readFile(path / identityName);
    if (!content && content.error().code != ErrorCode::NotFound)
        return tl::unexpected(content.error());

    if (!content) {
        // State without an identity belongs to another process or is damaged.
        if (std::filesystem::exists(path / "log") || std::filesystem::exists(path / "snapshot"))
            return fail(ErrorCode::Io,
                        path.string() + ": holds a log or a snapshot but no file 'identity'");
        return create(path, clusterId, vm, incarnation);
    }

    const Json json = Json::parse(*content, nullptr, false);
    if (!json.is_object() || !json.contains("incarnation"))
        return fail(ErrorCode::Io, path.string() + ": the file 'identity' is damaged");
    const auto identity = json.get<Identity>();
    if (identity.cluster != clusterId || identity.vm != vm)
        return fail(ErrorCode::InvalidArgument,
                    fmt::format("{}: belongs to VM '{}' of cluster '{}'", path.string(),
                                identity.vm, identity.cluster));
    return DataFolder(path, ReplicaId{identity.vm + "/" + identity.incarnation});
}

Result<void> DataFolder::markState(const std::filesystem::path &path, bool isWrong)
{
    if (isWrong)
        return replaceFile(path / wrongStateName, {});
    if (!isStateWrong(path))
        return {};
    std::error_code error;
    std::filesystem::remove(path / wrongStateName, error);
    if (error)
        return fail(ErrorCode::Io, fmt::format("{}: {}", path.string(), error.message()));
    return syncFolder(path);
}

bool DataFolder::isStateWrong(const std::filesystem::path &path)
{
    std::error_code error;
    return std::filesystem::exists(path / wrongStateName, error);
}

} // namespace guavashift
