#include "load/stop_window.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace galenaroad;
using namespace std::chrono_literals;

TEST_CASE("stop_window: nothing that is started late in a stop can outlast the exit", "[relay]")
{
    // Guards against a bound other than the deadline, which some requests exceed.
    CHECK(rc::check([] {
        const steady_time stopped_at(std::chrono::hours(1));
        const auto notification = std::chrono::milliseconds(*rc::gen::inRange(0, 5000));
        const auto exit = notification + std::chrono::milliseconds(*rc::gen::inRange(0, 5000));
        stop_window window;
        window.begin(stopped_at + notification, stopped_at + exit);
        const auto now = stopped_at + std::chrono::milliseconds(*rc::gen::inRange(0, 12000));
        const auto deadline = now + std::chrono::milliseconds(*rc::gen::inRange(0, 12000));
        const bool ends_in_time = deadline <= stopped_at + exit;
        const bool is_early = now < stopped_at + notification;
        RC_ASSERT(window.accepts_request(deadline, now) == (ends_in_time || is_early));
        RC_ASSERT(window.ends_before_exit(deadline) == ends_in_time);
        const bool may_be_interrupted = *rc::gen::arbitrary<bool>();
        RC_ASSERT(window.may_start_owned(deadline, may_be_interrupted, now) ==
                  (ends_in_time || (may_be_interrupted && now < stopped_at + exit - 1500ms)));
        RC_ASSERT(window.has_begun());
        RC_ASSERT(window.time_until_exit(now) == std::max(stopped_at + exit - now, 0ns));
    }));
}

TEST_CASE("stop_window: before a stop all requests are started", "[relay]")
{
    // Guards against a daemon that refuses requests although it is not stopping.
    const stop_window window;
    const steady_time now(1h);
    CHECK_FALSE(window.has_begun());
    CHECK(window.ends_before_exit(now + 1h));
    CHECK(window.accepts_request(now + 1h, now));
    CHECK(window.may_start_owned(now + 1h, false, now));
    CHECK(window.time_until_exit(now) == 0ms);
}
