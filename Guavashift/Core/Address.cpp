#include <Guavashift/Core/Address.h>

#include <arpa/inet.h>
#include <charconv>

namespace guavashift {

Result<Address> Address::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return fail(ErrorCode::InvalidArgument, fmt::format("'{}' is not IP:port", text));
    Address address;
    address.ip = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (error != std::errc() || end != port.data() + port.size())
        return fail(ErrorCode::InvalidArgument, fmt::format("'{}' has no valid port", text));
    in_addr parsed{};
    if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1)
        return fail(ErrorCode::InvalidArgument,
                    fmt::format("'{}' is not an IP number", address.ip));
    return address;
}

std::string Address::text() const
{
    return fmt::format("{}:{}", ip, port);
}

} // namespace guavashift
