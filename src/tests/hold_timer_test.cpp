#include "health/hold_timer.h"

#include "base/manual_clock.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

TEST_CASE("hold_timer: the hold time doubles for a flapping upstream, up to its limit", "[health]")
{
    // Guards against a flapping upstream that returns to service every ten seconds.
    manual_clock time;
    hold_timer timer;
    auto expected = hold_timer::initial_hold_time;
    for (int round = 0; round < 8; ++round) {
        timer.on_unhealthy(time.steady_now());
        timer.on_unhealthy(time.steady_now()); // A second verdict during the hold has no effect.
        CHECK(timer.hold_time() == expected);
        time.advance(timer.hold_time() + 1s);
        CHECK(timer.phase(time.steady_now()) == hold_phase::probing);
        expected = std::min(expected * 2, hold_timer::max_hold_time);
    }
    CHECK(timer.hold_time() == hold_timer::max_hold_time);
    time.advance(hold_timer::hold_reset_time);
    timer.on_unhealthy(time.steady_now());
    CHECK(timer.hold_time() == hold_timer::initial_hold_time);
}

TEST_CASE("hold_timer: an upstream returns by probe requests and slow start", "[health]")
{
    // Guards against a returning upstream that immediately receives its full share.
    manual_clock time;
    hold_timer timer;
    CHECK(timer.preference(time.steady_now()) == 1.0);
    timer.on_unhealthy(time.steady_now());
    double before = timer.preference(time.steady_now());
    CHECK(before == hold_timer::held_preference);
    time.advance(hold_timer::initial_hold_time);
    for (auto passed = 0s; passed < hold_timer::probing_time + hold_timer::ramp_time;
         passed += 1s) {
        const double now = timer.preference(time.steady_now());
        CHECK(now >= before);
        CHECK(now < 1.0);
        before = now;
        time.advance(1s);
    }
    CHECK(timer.phase(time.steady_now()) == hold_phase::serving);
}
