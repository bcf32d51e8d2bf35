#include "relay/body_grace_period.h"

#include <algorithm>

namespace galenaroad {

namespace {

constexpr std::chrono::milliseconds max_grace_period(2000);
// The remaining bytes may arrive at a lower rate than those received so far.
constexpr double rate_margin = 2;

} // namespace

std::chrono::milliseconds body_grace_period::for_progress(const body_progress& progress)
{
    const bool has_known_end =
        progress.framing.end == body_end::length && progress.received <= progress.framing.length;
    if (!has_known_end || progress.received == 0) {
        return std::chrono::milliseconds(0);
    }
    const auto left = static_cast<double>(progress.framing.length - progress.received);
    const std::chrono::duration<double, std::milli> elapsed = progress.elapsed;
    const double needed_ms = elapsed.count() * left / static_cast<double>(progress.received);
    if (needed_ms * rate_margin > static_cast<double>(max_grace_period.count())) {
        return std::chrono::milliseconds(0);
    }
    // Even when the estimated time is zero, the remaining bytes need a moment to arrive.
    constexpr std::chrono::milliseconds min_grace_period(100);
    const std::chrono::milliseconds expected(static_cast<std::int64_t>(needed_ms * rate_margin));
    return std::max(expected, min_grace_period);
}

} // namespace galenaroad
