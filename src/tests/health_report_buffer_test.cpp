#include "load/health_report_buffer.h"

#include "base/manual_clock.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

struct fixture {
    manual_clock time;
    health_report_buffer buffer;

    fixture() { time.advance(1h); }

    bool record_health(const std::string& owner, double failure_probability,
                       std::chrono::milliseconds age = 0ms)
    {
        return buffer.record_health(owner, {failure_probability, 0}, time.steady_now() - age);
    }
};

} // namespace

TEST_CASE("health_report_buffer: each report is sent a few times and then no more", "[relay]")
{
    // Guards against daemons that keep sending one another reports that all of them know.
    fixture setup;
    CHECK(setup.record_health("a", 0.9));
    setup.time.advance(250ms);
    const auto first = setup.buffer.take_due(setup.time.steady_now());
    REQUIRE(first.size() == 1);
    CHECK(first[0].owner == "a");
    CHECK(first[0].age == 250ms);
    CHECK(setup.buffer.take_due(setup.time.steady_now()).size() == 1);
    CHECK(setup.buffer.take_due(setup.time.steady_now()).empty());
}

TEST_CASE("health_report_buffer: only newer reports are accepted and relayed", "[relay]")
{
    // Guards against reports that circulate endlessly, and against late reports that overwrite
    // newer ones.
    fixture setup;
    CHECK(setup.record_health("a", 0.9));
    CHECK_FALSE(setup.record_health("a", 0.9));
    CHECK_FALSE(setup.record_health("a", 0.1, 100ms));
    CHECK(setup.buffer.take_due(setup.time.steady_now())[0].health.failure_probability == 0.9);
}

TEST_CASE("health_report_buffer: a message holds the newest reports that fit", "[relay]")
{
    // Guards against messages that exceed one packet in a large fleet.
    fixture setup;
    for (int owner = 0; owner < 100; ++owner) {
        setup.record_health("old" + std::to_string(owner), 0.5, 500ms);
    }
    setup.record_health("new", 0.9);
    const auto reports = setup.buffer.take_due(setup.time.steady_now());
    REQUIRE(reports.size() == health_report_buffer::max_reports);
    CHECK(reports[0].owner == "new");
}

TEST_CASE("health_report_buffer: outdated reports are not sent", "[relay]")
{
    // Guards against reports about an upstream whose health has changed since.
    fixture setup;
    setup.record_health("a", 0.9);
    setup.time.advance(3s);
    CHECK(setup.buffer.take_due(setup.time.steady_now()).empty());
}

TEST_CASE("health_report_buffer: a refusal keeps the time of the latest outcome", "[relay]")
{
    // Guards against a refusal that overwrites the age of an outcome before it was sent; other
    // daemons would then probe a suspect owner too late or too soon.
    fixture setup;
    setup.buffer.record_health("a", {0.9, 0, true, 100ms}, setup.time.steady_now());
    setup.time.advance(200ms);
    setup.record_health("a", 0.8);
    const auto reports = setup.buffer.take_due(setup.time.steady_now());
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].health.failure_probability == 0.8);
    CHECK(reports[0].health.last_outcome_age == 300ms);
}
