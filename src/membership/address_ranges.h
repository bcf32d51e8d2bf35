#pragma once

#include "base/random_engine.h"
#include "membership/membership_settings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace galenaroad {

/// The addresses and ports at which daemons may be found.
class address_ranges {
public:
    /// @param ranges the ranges; those that are not valid IPv4 ranges are ignored, see valid().
    explicit address_ranges(const std::vector<join_range>& ranges);

    /// @param range a range.
    /// @return whether both ends are IPv4 addresses in order, and both ports are in order.
    static bool valid(const join_range& range);

    /// @return whether there is no address.
    bool empty() const { return m_total == 0; }

    /// Chooses one of all addresses with equal probability.
    /// @param engine the random engine.
    /// @return IP number and port; empty when there is no address.
    std::string random(random_engine& engine) const;

private:
    struct block {
        std::uint32_t first_address = 0;
        std::uint16_t first_port = 0;
        std::uint64_t addresses = 0;
        std::uint64_t ports = 0;
    };

    std::vector<block> m_blocks;
    std::uint64_t m_total = 0;
};

} // namespace galenaroad
