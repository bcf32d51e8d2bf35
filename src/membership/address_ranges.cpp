#include "membership/address_ranges.h"

#include <arpa/inet.h>
#include <array>
#include <optional>

namespace galenaroad {

namespace {

std::optional<std::uint32_t> ipv4_number(const std::string& text)
{
    in_addr parsed{};
    if (inet_pton(AF_INET, text.c_str(), &parsed) != 1) {
        return std::nullopt;
    }
    return ntohl(parsed.s_addr);
}

std::string ipv4_text(std::uint32_t number)
{
    in_addr address{};
    address.s_addr = htonl(number);
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address, text.data(), text.size());
    return text.data();
}

} // namespace

bool address_ranges::valid(const join_range& range)
{
    const auto first = ipv4_number(range.first_address);
    const auto last = ipv4_number(range.last_address);
    return first && last && *first <= *last && range.first_port <= range.last_port;
}

address_ranges::address_ranges(const std::vector<join_range>& ranges)
{
    for (const auto& each : ranges) {
        if (!valid(each)) {
            continue;
        }
        block next;
        next.first_address = *ipv4_number(each.first_address);
        next.first_port = each.first_port;
        next.addresses = std::uint64_t{*ipv4_number(each.last_address)} - next.first_address + 1;
        next.ports = static_cast<std::uint64_t>(each.last_port - each.first_port) + 1;
        m_total += next.addresses * next.ports;
        m_blocks.push_back(next);
    }
}

std::string address_ranges::random(random_engine& engine) const
{
    if (empty()) {
        return {};
    }
    auto chosen = std::uniform_int_distribution<std::uint64_t>(0, m_total - 1)(engine);
    for (const auto& each : m_blocks) {
        const auto size = each.addresses * each.ports;
        if (chosen >= size) {
            chosen -= size;
            continue;
        }
        const auto address = each.first_address + static_cast<std::uint32_t>(chosen / each.ports);
        const auto port = each.first_port + chosen % each.ports;
        return ipv4_text(address) + ":" + std::to_string(port);
    }
    return {};
}

} // namespace galenaroad
