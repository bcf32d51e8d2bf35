#pragma once

#include "base/random_engine.h"
#include "membership/membership_settings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace galenaroad {

/// The address and port ranges in which a joining daemon looks for other daemons.
class address_ranges {
public:
    /// @param ranges the ranges; invalid IPv4 ranges are ignored, see valid().
    explicit address_ranges(const std::vector<join_range>& ranges);

    /// @param range a range.
    /// @return whether both ends are IPv4 addresses and neither the last address nor the last port
    /// is below the first.
    static bool valid(const join_range& range);

    /// @return whether the ranges contain no address.
    bool empty() const { return m_total == 0; }

    /// Chooses one address; all are equally likely.
    /// @param engine the random engine.
    /// @return IP address and port; empty when the ranges contain no address.
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
