#include <Guavashift/Configuration/DocumentReader.h>
#include <Guavashift/Configuration/VersionedDocument.h>

namespace guavashift {

namespace {

/// Covers eight days at 2,400 changes a day.
constexpr std::size_t maxHistory = 20'000;

constexpr std::size_t maxDocumentBytes = 4 << 20;
constexpr std::size_t maxPatchIdBytes = 256;

/// Hashes all members of a patch, so that a reused id with other content is detected.
std::uint64_t hashOf(const ConfigPatch &patch)
{
    return hashBytes(Json(patch).dump());
}

Findings checkDocument(const Json &json)
{
    if (json.dump().size() > maxDocumentBytes)
        return {{"", fmt::format("the document exceeds {} bytes", maxDocumentBytes)}};
    auto document = readDocument(json);
    return document ? Findings() : std::move(document.error());
}

} // namespace

VersionedDocument::VersionedDocument()
    : m_json(Json::object())
{
}

const PatchRecord *VersionedDocument::findRecord(ConfigVersion version) const
{
    if (m_history.empty() || version < m_history.front().version || version > m_version)
        return nullptr;
    return &m_history[version - m_history.front().version];
}

PatchOutcome VersionedDocument::apply(const ConfigPatch &patch, WallMs time)
{
    // The base version of a resent patch precedes the version that the patch became.
    if (patch.baseVersion < m_version) {
        const PatchRecord *record = findRecord(patch.baseVersion + 1);
        if (record != nullptr && record->patchId == patch.patchId
            && record->operatorName == patch.operatorName && record->patchHash == hashOf(patch))
            return PatchAccepted{record->version, true};
    }
    if (patch.baseVersion != m_version)
        return PatchConflict{m_version};
    if (patch.patchId.empty() || patch.patchId.size() > maxPatchIdBytes)
        return PatchRefused{{{"patchId", "must have 1 to 256 bytes"}}};
    if (!patch.patch.is_object())
        return PatchRefused{{{"", "the patch must be an object"}}};

    Json patched = m_json;
    patched.merge_patch(patch.patch);
    if (Findings findings = checkDocument(patched); !findings.empty())
        return PatchRefused{std::move(findings)};

    m_json = std::move(patched);
    m_document = *readDocument(m_json);
    ++m_version;
    m_history.push_back({m_version, patch.operatorName, patch.patchId, hashOf(patch), time});
    if (m_history.size() > maxHistory)
        m_history.pop_front();
    return PatchAccepted{m_version, false};
}

Findings VersionedDocument::check(const Json &patch) const
{
    if (!patch.is_object())
        return {{"", "the patch must be an object"}};
    Json patched = m_json;
    patched.merge_patch(patch);
    return checkDocument(patched);
}

Json VersionedDocument::save() const
{
    return {{"version", m_version}, {"document", m_json}, {"history", m_history}};
}

void VersionedDocument::load(const Json &json)
{
    m_version = json.at("version").get<ConfigVersion>();
    m_json = json.at("document");
    m_history = json.at("history").get<std::deque<PatchRecord>>();
    auto document = readDocument(m_json);
    GUAVASHIFT_CHECK(document.has_value());
    m_document = std::move(*document);
}

} // namespace guavashift
