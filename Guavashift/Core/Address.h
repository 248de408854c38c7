#pragma once

#include <Guavashift/Core/Core.h>

#include <string>
#include <string_view>

namespace guavashift {

/// IPv4 address and port. Host names are not resolved.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    /// Reads "IP:port". Fails for host names and for ports outside 0 to 65535.
    static Result<Address> parse(std::string_view text);

    [[nodiscard]] std::string text() const;
    bool operator==(const Address &) const = default;
};

} // namespace guavashift
