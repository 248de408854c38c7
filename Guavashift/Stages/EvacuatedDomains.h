#pragma once

#include <Guavashift/Core/Core.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace guavashift {

struct EvacuationSettings
{
    /// Most failure domains that may be evacuated at once.
    std::size_t maxEvacuated = 1000;
    /// Most returns that are kept; the oldest are dropped beyond it.
    std::size_t maxReturns = 1000;
    /// Time for which a return is kept. Longer than workers take to warm up after it.
    std::int64_t returnRetentionMs = 600'000;
};

/// Failure domains that operators have evacuated, and when the others were taken back. Replicated
/// state: all operations depend on their arguments only.
class EvacuatedDomains final
{
public:
    using Names = std::set<std::string, std::less<>>;
    using Returns = std::map<std::string, WallMs, std::less<>>;

    explicit EvacuatedDomains(const EvacuationSettings &settings);

    /// Whether the text can be the name of a failure domain: it is valid UTF-8, not empty, has
    /// at most 128 bytes, and neither a slash nor a control character among them.
    [[nodiscard]] static bool isName(std::string_view text);

    /// Records an evacuation, also if the domain is evacuated already. Returns false and changes
    /// nothing if the text is no name, or if there are too many.
    bool evacuate(const std::string &domain);
    /// Ends an evacuation. Returns whether there was one.
    bool takeBack(std::string_view domain, WallMs time);
    /// Forgets the returns that the settings' time has passed since.
    void removeExpired(WallMs time);

    [[nodiscard]] bool contains(std::string_view domain) const { return m_names.contains(domain); }
    [[nodiscard]] bool isFull() const { return m_names.size() >= m_settings.maxEvacuated; }
    [[nodiscard]] const Names &names() const { return m_names; }
    /// When the domain was taken back last, if that is kept.
    [[nodiscard]] std::optional<WallMs> returnedAt(std::string_view domain) const;
    [[nodiscard]] const Returns &returns() const { return m_returns; }

    /// The state for a snapshot.
    [[nodiscard]] Json save() const;
    /// Replaces the state. Throws Json::exception for a value that save() did not return.
    void load(const Json &json);

private:
    void dropOldestReturn();

    EvacuationSettings m_settings;
    Names m_names;
    Returns m_returns;
};

} // namespace guavashift
