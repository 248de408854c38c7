#pragma once

#include <Guavashift/Core/Core.h>

namespace guavashift {

/// Decides whether a request may wait for a free backend server. Pure.
class QueueAdmission final
{
public:
    /// Whether to let a request wait. It is refused at once if the line is full, or if those before
    /// it will take longer than it can wait.
    /// @param typicalLatency of one request at a backend server
    /// @param capacity requests served at a time
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
