#pragma once

#include <cstddef>

namespace galenaroad {

/// Memory that one daemon's control state takes, by the allocator's own count.
struct control_memory {
    double bytes_per_member = 0;
    double bytes_per_upstream = 0;
    double bytes_per_route = 0;
    double total_bytes = 0; ///< At 6,500 members, 74,000 upstreams and 80,000 routes.
};

/// Builds the state of one daemon at the size in two years, from messages decoded by the real
/// codec, and measures it.
/// @return the measurement.
control_memory measure_control_memory();

} // namespace galenaroad
