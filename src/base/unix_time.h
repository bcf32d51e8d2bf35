#pragma once

#include "base/clock.h"

#include <cstdint>

namespace galenaroad {

/// @param time a time of day.
/// @return milliseconds since the Unix epoch.
inline std::uint64_t unix_ms(system_time time)
{
    const auto since = time.time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

} // namespace galenaroad
