#pragma once

#include <chrono>

namespace galenaroad {

using steady_time = std::chrono::steady_clock::time_point;
using system_time = std::chrono::system_clock::time_point;

/// Source of time. Decision code takes a clock and never reads the process clock itself.
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    clock(clock&&) = delete;
    clock& operator=(clock&&) = delete;
    virtual ~clock() = default;

    /// @return the monotonic time, for intervals and deadlines.
    virtual steady_time steady_now() const = 0;

    /// @return the wall-clock time, for logs, spans and incarnation numbers only.
    virtual system_time system_now() const = 0;
};

} // namespace galenaroad
