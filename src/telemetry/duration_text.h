#pragma once

#include <chrono>
#include <string>

namespace galenaroad {

/// @param time a duration, as a log field tells it.
/// @return its whole milliseconds.
inline std::string ms_text(std::chrono::nanoseconds time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace galenaroad
