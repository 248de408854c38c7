#include <Guavashift/Core/Hash.h>
#include <Guavashift/Core/HashBuilder.h>

namespace guavashift {

namespace {

constexpr std::size_t maxPendingBytes = 16 << 10;

void appendNumber(std::string &bytes, std::uint64_t value)
{
    bytes.append(reinterpret_cast<const char *>(&value), sizeof(value));
}

} // namespace

void HashBuilder::add(std::uint64_t value)
{
    appendNumber(m_pending, value);
    flushIfLong();
}

void HashBuilder::add(std::string_view text)
{
    appendNumber(m_pending, text.size());
    m_pending += text;
    flushIfLong();
}

std::uint64_t HashBuilder::value() const
{
    std::string bytes;
    appendNumber(bytes, m_hash);
    return hashBytes(bytes + m_pending);
}

void HashBuilder::flushIfLong()
{
    if (m_pending.size() < maxPendingBytes)
        return;
    m_hash = value();
    m_pending.clear();
}

} // namespace guavashift
