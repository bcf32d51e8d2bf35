#include "relay/service_pressure.h"

#include "base/manual_clock.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

/// Notes five requests a second, of which one in `failing_one_in` is not served.
void note_seconds(service_pressure& pressure, manual_clock& time, int seconds, int failing_one_in)
{
    for (int request = 1; request <= seconds * 5; ++request) {
        time.advance(200ms);
        pressure.note(request % failing_one_in != 0, time.steady_now());
    }
}

} // namespace

TEST_CASE("service_pressure: rises with a lasting share of failures and fades", "[relay]")
{
    // Guards against requests that avoid doubtful upstreams while a tenth is not served, and
    // against risks that are taken long after the trouble.
    manual_clock time;
    time.advance(1h);
    service_pressure pressure;
    CHECK_FALSE(pressure.is_high(time.steady_now()));
    note_seconds(pressure, time, 10, 8);
    CHECK(pressure.is_high(time.steady_now()));
    time.advance(10s);
    CHECK_FALSE(pressure.is_high(time.steady_now()));
}

TEST_CASE("service_pressure: the failures of a calm day are no pressure", "[relay]")
{
    // Guards against trials at failing upstreams on a day on which one request in thirty fails.
    manual_clock time;
    time.advance(1h);
    service_pressure pressure;
    note_seconds(pressure, time, 59, 30);
    CHECK_FALSE(pressure.is_high(time.steady_now()));
    pressure.note(false, time.steady_now());
    CHECK_FALSE(pressure.is_high(time.steady_now()));
}

TEST_CASE("service_pressure: daemons that see little learn of it from their neighbours", "[relay]")
{
    // Guards against the floor broken on trouble-2 of brazos-wheelworks-grown: one request in ten
    // was not served, which no daemon could tell from the few that it had seen itself.
    manual_clock time;
    time.advance(1h);
    service_pressure pressure;
    pressure.note(true, time.steady_now());
    for (int daemon = 0; daemon < 15; ++daemon) {
        pressure.note_neighbour("d" + std::to_string(daemon), {10, daemon % 2 == 0 ? 2.0 : 0.0},
                                time.steady_now());
    }
    CHECK(pressure.is_high(time.steady_now()));
    time.advance(3s);
    CHECK_FALSE(pressure.is_high(time.steady_now()));
}
