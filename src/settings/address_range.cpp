#include "settings/address_range.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <regex>

namespace galenaroad {

namespace {

std::optional<std::uint32_t> parse_ip(const std::string& text)
{
    in_addr address{};
    if (inet_pton(AF_INET, text.c_str(), &address) != 1) {
        return std::nullopt;
    }
    return ntohl(address.s_addr);
}

std::optional<std::uint16_t> parse_port(const std::string& text)
{
    std::uint16_t port = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return port;
}

std::string format_ip(std::uint32_t ip)
{
    const in_addr address{htonl(ip)};
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address, text.data(), text.size());
    return text.data();
}

} // namespace

address_range::address_range(std::uint32_t first_ip, std::uint32_t last_ip,
                             std::uint16_t first_port, std::uint16_t last_port)
    : m_first_ip(first_ip), m_last_ip(last_ip), m_first_port(first_port), m_last_port(last_port)
{
}

std::optional<address_range> address_range::parse(const std::string& text)
{
    static const std::regex pattern(R"(([0-9.]+)(?:-([0-9.]+))?:([0-9]+)(?:-([0-9]+))?)");
    std::smatch parts;
    if (!std::regex_match(text, parts, pattern)) {
        return std::nullopt;
    }
    const auto first_ip = parse_ip(parts[1]);
    const auto last_ip = parts[2].matched ? parse_ip(parts[2]) : first_ip;
    const auto first_port = parse_port(parts[3]);
    const auto last_port = parts[4].matched ? parse_port(parts[4]) : first_port;
    if (!first_ip || !last_ip || !first_port || !last_port) {
        return std::nullopt;
    }
    if (*last_ip < *first_ip || *last_port < *first_port) {
        return std::nullopt;
    }
    return address_range(*first_ip, *last_ip, *first_port, *last_port);
}

std::uint64_t address_range::size() const
{
    const std::uint64_t ips = std::uint64_t{m_last_ip} - m_first_ip + 1;
    const std::uint64_t ports = std::uint64_t{m_last_port} - m_first_port + 1;
    return ips * ports;
}

std::string address_range::at(std::uint64_t index) const
{
    const std::uint64_t ports = std::uint64_t{m_last_port} - m_first_port + 1;
    const auto ip = static_cast<std::uint32_t>(m_first_ip + index / ports);
    return format_ip(ip) + ':' + std::to_string(m_first_port + index % ports);
}

std::string address_error(const std::string& text)
{
    const auto range = address_range::parse(text);
    const bool is_single = range && range->size() == 1 && text.find('-') == std::string::npos;
    return is_single ? std::string() : "must be an IPv4 address and a port, as in 127.0.0.1:7000";
}

} // namespace galenaroad
