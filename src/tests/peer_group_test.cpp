#include "health/peer_group.h"

#include "base/manual_clock.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

// Returns a window with attempts that took 20, 30 and 45 ms in turn.
upstream_window window_with(int attempts, steady_time now)
{
    upstream_window window;
    const std::array<std::chrono::milliseconds, 3> times{20ms, 30ms, 45ms};
    for (int number = 0; number < attempts; ++number) {
        const auto time = times.at(static_cast<std::size_t>(number) % times.size());
        window.record({request_class::read, attempt_outcome::success, now - time, time}, now);
    }
    return window;
}

double recent_log_time(int attempts)
{
    manual_clock time;
    const auto window = window_with(attempts, time.steady_now());
    peer_group group(request_class::read);
    for (int peer = 0; peer < 4; ++peer) {
        group.add(window, time.steady_now());
    }
    return group.recent_reference(0)->log_time;
}

} // namespace

TEST_CASE("peer_group: the margin is greater with fewer attempts", "[health]")
{
    // Guards against ejecting a healthy server in a rare request class, where a reference from few
    // samples is too low for all of its attempts.
    CHECK(recent_log_time(3) > recent_log_time(15) + 0.1);
    CHECK(recent_log_time(15) > log_milliseconds(30ms));
}

TEST_CASE("peer_group: no reference without enough peers", "[health]")
{
    // Guards against comparing an upstream with one or two others, which may themselves be
    // outliers.
    manual_clock time;
    const auto window = window_with(9, time.steady_now());
    peer_group group(request_class::read);
    for (std::size_t peer = 0; peer < peer_group::min_peers; ++peer) {
        group.add(window, time.steady_now());
    }
    CHECK_FALSE(group.recent_reference(0));
    group.add(window, time.steady_now());
    CHECK(group.recent_reference(0));
    CHECK_FALSE(group.reference_since(0, time.steady_now() + 1s));
}
