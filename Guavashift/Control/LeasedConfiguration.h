#pragma once

#include <Guavashift/Control/NodeLease.h>
#include <Guavashift/Control/Protocol.h>

#include <memory>
#include <mutex>

namespace guavashift {

/// Holds a VM's copy of the configuration and the lease under which it may be used. Its version
/// never decreases. Thread-safe.
class LeasedConfiguration final
{
public:
    using DocumentPointer = std::shared_ptr<const ConfigurationDocument>;

    /// Updates from the reply to a heartbeat that was sent at `requestSent`. A document that cannot
    /// be read is logged and ignored, and does not renew the lease.
    void update(Instant requestSent, const HeartbeatReply &reply);

    /// The document if the lease is held at `now`, else null. New work must be refused without it.
    [[nodiscard]] DocumentPointer documentAt(Instant now) const;

    /// The document whether or not the lease is held; an empty one before the first update.
    [[nodiscard]] DocumentPointer latest() const;
    [[nodiscard]] ConfigVersion version() const;

private:
    mutable std::mutex m_mutex;
    NodeLease m_lease;
    ConfigVersion m_version = 0;
    DocumentPointer m_document = std::make_shared<ConfigurationDocument>();
};

} // namespace guavashift
