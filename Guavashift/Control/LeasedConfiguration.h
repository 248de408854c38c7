#pragma once

#include <Guavashift/Control/NodeLease.h>
#include <Guavashift/Control/Protocol.h>

#include <memory>
#include <mutex>

namespace guavashift {

/// A VM's copy of the configuration with the lease under which it may be used. Never steps back to
/// a lower version. Thread-safe.
class LeasedConfiguration final
{
public:
    using DocumentPointer = std::shared_ptr<const ConfigurationDocument>;

    /// Takes in the answer to a heartbeat that was sent at `requestSent`.
    void update(Instant requestSent, const HeartbeatReply &reply);

    /// The document if the lease is held at `now`, else null: new work must then be refused.
    [[nodiscard]] DocumentPointer documentAt(Instant now) const;

    /// The document whether or not the lease is held; null before the first.
    [[nodiscard]] DocumentPointer latest() const;
    [[nodiscard]] ConfigVersion version() const;

private:
    mutable std::mutex m_mutex;
    NodeLease m_lease;
    ConfigVersion m_version = 0;
    DocumentPointer m_document = std::make_shared<ConfigurationDocument>();
};

} // namespace guavashift
