#pragma once

#include "base/process_clock.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <malloc.h>

namespace galenaroad {

/// @return bytes of the heap that are in use.
inline std::size_t heap_in_use()
{
    const auto state = mallinfo2();
    return state.uordblks + state.hblkhd;
}

/// @param work what to measure.
/// @return the time that it took.
inline double milliseconds_of(const std::function<void()>& work)
{
    const process_clock clock;
    const auto start = clock.steady_now();
    work();
    return std::chrono::duration<double, std::milli>(clock.steady_now() - start).count();
}

} // namespace galenaroad
