#include <Guavashift/Stages/EvacuatedDomains.h>

#include <algorithm>

namespace guavashift {

namespace {

bool isUtf8(std::string_view text)
{
    try {
        return !Json(std::string(text)).dump().empty();
    } catch (const Json::type_error &) {
        return false;
    }
}

} // namespace

EvacuatedDomains::EvacuatedDomains(const EvacuationSettings &settings)
    : m_settings(settings)
{
}

bool EvacuatedDomains::isName(std::string_view text)
{
    constexpr std::size_t maxBytes = 128;
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    return !text.empty() && text.size() <= maxBytes
        && std::none_of(text.begin(), text.end(),
                        [](char c) {
                            const auto byte = static_cast<unsigned char>(c);
                            return byte < firstPrintable || byte == deleteCharacter || c == '/';
                        })
        && isUtf8(text);
}

bool EvacuatedDomains::evacuate(const std::string &domain)
{
    if (m_names.contains(domain))
        return true;
    if (!isName(domain) || isFull())
        return false;
    m_names.insert(domain);
    m_returns.erase(domain);
    return true;
}

bool EvacuatedDomains::takeBack(std::string_view domain, WallMs time)
{
    const auto found = m_names.find(domain);
    if (found == m_names.end())
        return false;
    m_returns.insert_or_assign(*found, time);
    m_names.erase(found);
    if (m_returns.size() > m_settings.maxReturns)
        dropOldestReturn();
    return true;
}

void EvacuatedDomains::dropOldestReturn()
{
    m_returns.erase(std::min_element(
        m_returns.begin(), m_returns.end(),
        [](const auto &left, const auto &right) { return left.second < right.second; }));
}

void EvacuatedDomains::removeExpired(WallMs time)
{
    std::erase_if(m_returns, [&](const auto &each) {
        return each.second + m_settings.returnRetentionMs < time;
    });
}

std::optional<WallMs> EvacuatedDomains::returnedAt(std::string_view domain) const
{
    const auto found = m_returns.find(domain);
    return found == m_returns.end() ? std::nullopt : std::optional(found->second);
}

Json EvacuatedDomains::save() const
{
    Json returns = Json::array();
    for (const auto &[domain, time] : m_returns)
        returns.push_back(Json::array({domain, time}));
    return Json::array({Json(m_names), std::move(returns)});
}

void EvacuatedDomains::load(const Json &json)
{
    Names names;
    for (const Json &each : json.at(0))
        names.insert(each.get<std::string>());
    Returns returns;
    for (const Json &each : json.at(1))
        returns.emplace(each.at(0).get<std::string>(), each.at(1).get<WallMs>());
    m_names = std::move(names);
    m_returns = std::move(returns);
}

} // namespace guavashift
