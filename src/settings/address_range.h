#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace galenaroad {

/// Addresses that a starting daemon tries when it joins the fleet: each port of the port range on
/// each IP address of the address range.
class address_range {
public:
    /// Parses `IP:PORT`, with a range `FIRST-LAST` in place of the IP, the port or both.
    /// @param text for example `127.0.0.1:7101-7112` or `10.1.0.1-10.1.0.40:7101`.
    /// @return the range, or nothing when the text is not a valid range.
    static std::optional<address_range> parse(const std::string& text);

    /// @return the number of addresses.
    std::uint64_t size() const;

    /// Returns one address of the range.
    /// @param index the index, less than size().
    /// @return IP address and port.
    std::string at(std::uint64_t index) const;

private:
    address_range(std::uint32_t first_ip, std::uint32_t last_ip, std::uint16_t first_port,
                  std::uint16_t last_port);

    std::uint32_t m_first_ip;
    std::uint32_t m_last_ip;
    std::uint16_t m_first_port;
    std::uint16_t m_last_port;
};

/// Validates an address from the settings.
/// @param text the address.
/// @return an error message, or an empty text when it is an IPv4 address and a port.
std::string address_error(const std::string& text);

} // namespace galenaroad
