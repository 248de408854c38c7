#pragma once

#include <Guavashift/Consensus/Consensus.h>

#include <filesystem>

namespace guavashift {

/// The one folder in which a control process keeps its state, with the identity of its disk.
class DataFolder final
{
public:
    /// Opens the folder for the VM; makes it if needed. An empty folder gets a new incarnation,
    /// durably, before anything else. Fails if it belongs to another cluster or VM.
    static Result<DataFolder> open(const std::filesystem::path &path, std::string_view clusterId,
                                   std::string_view vm, std::uint64_t randomNumber);

    /// The same with a given name for the incarnation of an empty folder.
    static Result<DataFolder> openWithIncarnation(const std::filesystem::path &path,
                                                  std::string_view clusterId, std::string_view vm,
                                                  std::string_view incarnation);

    [[nodiscard]] const std::filesystem::path &path() const { return m_path; }
    [[nodiscard]] const ReplicaId &replica() const { return m_replica; }

private:
    DataFolder(std::filesystem::path path, ReplicaId replica);

    std::filesystem::path m_path;
    ReplicaId m_replica;
};

} // namespace guavashift
