#include <Guavashift/Control/LeasedConfiguration.h>

namespace guavashift {

void LeasedConfiguration::update(Instant requestSent, const HeartbeatReply &reply)
{
    const std::lock_guard lock(m_mutex);
    // A delayed reply may carry an older version and does not renew the lease of the newer one.
    if (reply.configVersion < m_version)
        return;
    if (reply.configVersion > m_version) {
        if (!reply.configuration)
            return;
        auto document = readDocument(*reply.configuration);
        if (!document) {
            logEvent(LogLevel::Error, "configuration-unreadable",
                     {{"version", reply.configVersion}, {"findings", describe(document.error())}});
            return;
        }
        m_document = std::make_shared<ConfigurationDocument>(std::move(*document));
        m_version = reply.configVersion;
        logEvent(LogLevel::Info, "configuration-in-force", {{"version", m_version}});
    }
    m_lease.renew(requestSent, std::chrono::milliseconds(reply.configLeaseMs));
}

LeasedConfiguration::DocumentPointer LeasedConfiguration::documentAt(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    return m_lease.isHeld(now) ? m_document : nullptr;
}

LeasedConfiguration::DocumentPointer LeasedConfiguration::latest() const
{
    const std::lock_guard lock(m_mutex);
    return m_document;
}

ConfigVersion LeasedConfiguration::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_version;
}

} // namespace guavashift
