#include <StandIns/RecordFile.h>

namespace guavashift {

RecordFile::RecordFile(const std::string &path)
{
    if (!path.empty())
        m_file.open(path, std::ios::app);
}

void RecordFile::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    m_file << line << '\n' << std::flush;
}

} // namespace guavashift
