#include "base/manual_clock.h"
#include "telemetry/decision_log.h"

#include <catch2/catch.hpp>

using namespace galenaroad;

TEST_CASE("decision_log: entries beyond the rate are dropped and counted", "[telemetry]")
{
    // Guards against a log that grows with the load, or that slows requests down.
    structured_log::configure("test", "", log_level::error);
    manual_clock time;
    decision_log_limits limits;
    limits.burst = 10;
    limits.entries_per_second = 1;
    decision_log log(time, limits);
    for (int entry = 0; entry < 30; ++entry) {
        log.note("entry", "r", {});
    }
    CHECK(log.dropped() == 20);
    time.advance(std::chrono::seconds(5));
    for (int entry = 0; entry < 30; ++entry) {
        log.note("entry", "r", {});
    }
    CHECK(log.dropped() == 45);
}

TEST_CASE("decision_log: entries on refused requests leave room for others", "[telemetry]")
{
    // Guards against clients with invalid requests that keep the entries on valid ones out.
    structured_log::configure("test", "", log_level::error);
    manual_clock time;
    decision_log_limits limits;
    limits.burst = 10;
    limits.entries_per_second = 1;
    decision_log log(time, limits);
    for (int entry = 0; entry < 30; ++entry) {
        log.note_refusal("entry", "r", {});
    }
    CHECK(log.dropped() == 25);
    for (int entry = 0; entry < 5; ++entry) {
        log.note("entry", "r", {});
    }
    CHECK(log.dropped() == 25);
    log.note("entry", "r", {});
    CHECK(log.dropped() == 26);
}
