#pragma once

#include <Guavashift/Core/Core.h>

#include <filesystem>
#include <string>
#include <string_view>

namespace guavashift {

/// Owner of an open file; closes it on destruction.
class File final
{
public:
    File() = default;
    File(File &&other) noexcept;
    File &operator=(File &&other) noexcept;
    ~File();

    /// Opens for appending; creates the file if needed and then syncs its folder.
    static Result<File> openForAppend(const std::filesystem::path &path);
    /// Creates an empty file, or empties an existing one. Does not sync its folder.
    static Result<File> create(const std::filesystem::path &path);

    Result<void> write(std::string_view bytes);
    /// Returns when the written bytes are on the disk (fdatasync).
    Result<void> sync();

private:
    explicit File(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    int m_descriptor = -1;
};

/// Reads a whole file. Fails with NotFound if it does not exist.
Result<std::string> readFile(const std::filesystem::path &path);

/// Replaces a file atomically: after a crash either the old or the new content is found.
Result<void> replaceFile(const std::filesystem::path &path, std::string_view content);

/// Makes the creation, renaming and removal of files in `folder` durable.
Result<void> syncFolder(const std::filesystem::path &folder);

} // namespace guavashift
