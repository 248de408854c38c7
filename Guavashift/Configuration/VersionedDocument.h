#pragma once

#include <Guavashift/Configuration/Document.h>

#include <deque>
#include <variant>

namespace guavashift {

using ConfigVersion = std::uint64_t;

/// Change of the configuration as an operator submits it.
struct ConfigPatch
{
    std::string operatorName;
    std::string patchId; ///< Chosen by the operator; the same when the patch is resent.
    ConfigVersion baseVersion = 0;
    Json patch; ///< JSON merge patch (RFC 7396).
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigPatch, operatorName, patchId, baseVersion, patch)

/// The patch was accepted as `version`, now or when it was first sent.
struct PatchAccepted
{
    static constexpr std::string_view kind = "patch-accepted";
    ConfigVersion version = 0;
    bool resent = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PatchAccepted, version, resent)

/// The patch was made against a version that is not the current one.
struct PatchConflict
{
    static constexpr std::string_view kind = "patch-conflict";
    ConfigVersion currentVersion = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PatchConflict, currentVersion)

/// The patched document would be invalid; nothing has changed.
struct PatchRefused
{
    static constexpr std::string_view kind = "patch-refused";
    Findings findings;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PatchRefused, findings)

using PatchOutcome = std::variant<PatchAccepted, PatchConflict, PatchRefused>;

/// Accepted patch in the history.
struct PatchRecord
{
    ConfigVersion version = 0;
    std::string operatorName;
    std::string patchId;
    std::uint64_t patchHash = 0;
    WallMs time = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PatchRecord, version, operatorName, patchId, patchHash, time)

/// Configuration with its version number and history. The version increases by one with each
/// accepted patch and never decreases.
class VersionedDocument final
{
public:
    VersionedDocument();

    /// Applies the patch as a whole or not at all.
    PatchOutcome apply(const ConfigPatch &patch, WallMs time);

    /// The findings that apply() would report for `patch` on the current version.
    [[nodiscard]] Findings check(const Json &patch) const;

    [[nodiscard]] ConfigVersion version() const { return m_version; }
    [[nodiscard]] const Json &json() const { return m_json; }
    [[nodiscard]] const ConfigurationDocument &document() const { return m_document; }
    [[nodiscard]] const std::deque<PatchRecord> &history() const { return m_history; }

    /// Returns the version, document and history for a snapshot.
    [[nodiscard]] Json save() const;
    /// Restores what save() returned.
    void load(const Json &json);

private:
    [[nodiscard]] const PatchRecord *findRecord(ConfigVersion version) const;

    ConfigVersion m_version = 0;
    Json m_json;
    ConfigurationDocument m_document;
    std::deque<PatchRecord> m_history;
};

} // namespace guavashift
