#pragma once

#include <Guavashift/Consensus/Consensus.h>

#include <filesystem>

namespace guavashift {

/// Folder in which a control process keeps all its state. The file `identity` in it records the
/// cluster, the VM and the incarnation of the disk.
class DataFolder final
{
public:
    /// Opens the folder for the VM and creates it if needed. An empty folder gets a new
    /// incarnation, which is stored durably before anything else. Fails if the folder belongs to
    /// another cluster or VM, or holds state but no identity.
    static Result<DataFolder> open(const std::filesystem::path &path, std::string_view clusterId,
                                   std::string_view vm, std::uint64_t randomNumber);

    /// Does the same as open(), but an empty folder gets the given incarnation.
    static Result<DataFolder> openWithIncarnation(const std::filesystem::path &path,
                                                  std::string_view clusterId, std::string_view vm,
                                                  std::string_view incarnation);

    /// Gives the folder a new incarnation, which is stored durably before anything else, and keeps
    /// the rest of its content. For a replica that must not go on under its earlier name.
    static Result<DataFolder> renew(const std::filesystem::path &path, std::string_view clusterId,
                                    std::string_view vm, std::uint64_t randomNumber);

    /// Records whether the snapshot and the log in the folder lead to a wrong state, durably.
    static Result<void> markState(const std::filesystem::path &path, bool isWrong);
    [[nodiscard]] static bool isStateWrong(const std::filesystem::path &path);

    [[nodiscard]] const std::filesystem::path &path() const { return m_path; }
    [[nodiscard]] const ReplicaId &replica() const { return m_replica; }

private:
    DataFolder(std::filesystem::path path, ReplicaId replica);

    /// Stores an identity, in the place of an earlier one if there is one.
    static Result<DataFolder> create(const std::filesystem::path &path, std::string_view clusterId,
                                     std::string_view vm, std::string_view incarnation);

    std::filesystem::path m_path;
    ReplicaId m_replica;
};

} // namespace guavashift
