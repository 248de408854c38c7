#include <Guavashift/Consensus/File.h>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace guavashift {

namespace {

constexpr int fileMode = 0600;

tl::unexpected<Error> systemError(std::string_view operation, const std::filesystem::path &path)
{
    const ErrorCode code = errno == ENOENT ? ErrorCode::NotFound : ErrorCode::Io;
    return fail(code, fmt::format("{} {}: {}", operation, path.string(), std::strerror(errno)));
}

} // namespace

File::File(File &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

File &File::operator=(File &&other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

File::~File()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

Result<File> File::openForAppend(const std::filesystem::path &path)
{
    std::error_code unknown;
    const bool existed = std::filesystem::exists(path, unknown);
    const int descriptor =
        ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, fileMode);
    if (descriptor < 0)
        return systemError("open", path);
    File file(descriptor);
    if (!existed) {
        if (Result<void> synced = syncFolder(path.parent_path()); !synced)
            return tl::unexpected(synced.error());
    }
    return file;
}

Result<File> File::create(const std::filesystem::path &path)
{
    const int descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, fileMode);
    if (descriptor < 0)
        return systemError("create", path);
    return File(descriptor);
}

Result<void> File::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = ::write(m_descriptor, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0)
            return systemError("write", "file");
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
}

Result<void> File::sync()
{
    if (::fdatasync(m_descriptor) != 0)
        return systemError("fdatasync", "file");
    return {};
}

Result<std::string> readFile(const std::filesystem::path &path)
{
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0)
        return systemError("open", path);
    constexpr std::size_t chunkBytes = 1 << 20;
    std::string content;
    for (;;) {
        const std::size_t end = content.size();
        content.resize(end + chunkBytes);
        const ssize_t count = ::read(descriptor, content.data() + end, chunkBytes);
        if (count < 0) {
            auto error = systemError("read", path);
            ::close(descriptor);
            return error;
        }
        content.resize(end + static_cast<std::size_t>(count));
        if (count == 0)
            break;
    }
    ::close(descriptor);
    return content;
}

Result<void> replaceFile(const std::filesystem::path &path, std::string_view content)
{
    std::filesystem::path temporary = path;
    temporary += ".new";
    const auto writeTemporary = [&]() -> Result<void> {
        Result<File> file = File::create(temporary);
        if (!file)
            return tl::unexpected(file.error());
        if (Result<void> written = file->write(content); !written)
            return written;
        return file->sync();
    };
    Result<void> replaced = writeTemporary();
    if (replaced && ::rename(temporary.c_str(), path.c_str()) != 0)
        replaced = systemError("rename", path);
    if (replaced)
        return syncFolder(path.parent_path());
    // A part of the content would only take space from the next attempt, which empties it.
    std::error_code ignored;
    std::filesystem::remove(temporary, ignored);
    return replaced;
}

Result<void> syncFolder(const std::filesystem::path &folder)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
        return systemError("open", folder);
    const bool synced = ::fsync(descriptor) == 0;
    ::close(descriptor);
    if (!synced)
        return systemError("fsync", folder);
    return {};
}

} // namespace guavashift
