#pragma once

#include "base/clock.h"

namespace galenaroad {

/// Reads the clocks of the process.
class process_clock : public clock {
public:
    steady_time steady_now() const override { return std::chrono::steady_clock::now(); }
    system_time system_now() const override { return std::chrono::system_clock::now(); }
};

} // namespace galenaroad
