#include "fleet/store_era_tracker.h"

#include "base/manual_clock.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace galenaroad;
using namespace std::chrono_literals;

TEST_CASE("store_era_tracker: a higher era advances and a lower one is outdated", "[fleet]")
{
    // Guards against responses of two eras that arrive out of order on two connections.
    manual_clock time;
    store_era_tracker tracker(time);
    CHECK(tracker.on_response(store_era(3)) == era_verdict::current);
    CHECK(tracker.on_response(store_era(4)) == era_verdict::advanced);
    CHECK(tracker.on_response(store_era(3)) == era_verdict::outdated);
    CHECK(tracker.on_response(store_era(4)) == era_verdict::current);
    CHECK(tracker.current() == store_era(4));
}

TEST_CASE("store_era_tracker: responses without an era are current", "[fleet]")
{
    // Guards against a store without eras that is not read any more.
    manual_clock time;
    store_era_tracker tracker(time);
    CHECK(tracker.on_response({}) == era_verdict::current);
    CHECK_FALSE(tracker.current().is_known());
    CHECK(tracker.on_response(store_era(0)) == era_verdict::advanced);
    CHECK(tracker.on_response({}) == era_verdict::current);
    CHECK(tracker.current() == store_era(0));
}

TEST_CASE("store_era_tracker: only a lasting fall is followed", "[fleet]")
{
    // Guards against a daemon that never listens again to a store whose era has been reset, and
    // against one that follows a single late response.
    manual_clock time;
    store_era_tracker tracker(time);
    tracker.on_response(store_era(9));
    CHECK(tracker.on_response(store_era(1)) == era_verdict::outdated);
    time.advance(6s);
    CHECK(tracker.on_response(store_era(1)) == era_verdict::outdated);
    CHECK(tracker.on_response(store_era(9)) == era_verdict::current);
    for (int count = 0; count < 5; ++count) {
        CHECK(tracker.on_response(store_era(1)) == era_verdict::outdated);
        time.advance(1s);
    }
    CHECK(tracker.on_response(store_era(1)) == era_verdict::advanced);
    CHECK(tracker.current() == store_era(1));
}

TEST_CASE("store_era_tracker: the era never falls while responses of it arrive", "[fleet]")
{
    // Guards against an era that goes back because responses of earlier ones keep arriving late.
    CHECK(rc::check([](const std::vector<std::uint8_t>& eras) {
        manual_clock time;
        store_era_tracker tracker(time);
        std::uint64_t highest = 0;
        for (const auto each : eras) {
            highest = std::max<std::uint64_t>(highest, each);
            tracker.on_response(store_era(each));
            tracker.on_response(store_era(highest));
            RC_ASSERT(tracker.current() == store_era(highest));
            time.advance(7s);
        }
    }));
}
