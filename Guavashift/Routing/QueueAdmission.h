#pragma once

#include <Guavashift/Core/Core.h>

namespace guavashift {

/// Decides whether a request may wait for a free backend server. Counts the waiting requests but
/// does not hold them. Without I/O.
class QueueAdmission final
{
public:
    /// Whether a request may wait. It may not if the queue is full, or if the requests ahead of it
    /// and its own run are expected to take longer than `timeLeft`. With a capacity of 0 only the
    /// length of the queue counts.
    /// @param typicalLatency of one request at a backend server
    /// @param capacity requests served concurrently
    [[nodiscard]] bool admit(Duration timeLeft, Duration typicalLatency, std::uint32_t capacity,
                             std::uint32_t maxLength) const
    {
        if (m_length >= maxLength)
            return false;
        if (capacity == 0)
            return true;
        const Duration wait = typicalLatency * (m_length + 1) / capacity;
        return wait + typicalLatency <= timeLeft;
    }

    void enqueued() { ++m_length; }
    void dequeued() { --m_length; }
    [[nodiscard]] std::uint32_t length() const { return m_length; }

private:
    std::uint32_t m_length = 0;
};

} // namespace guavashift
