#include "telemetry/metrics_registry.h"

#include <catch2/catch.hpp>

using namespace galenaroad;

TEST_CASE("metrics_registry: the same name and labels are one metric", "[telemetry]")
{
    // Guards against counts that are split between two metrics of the same name.
    metrics_registry registry;
    registry.counter("requests_total", "Requests.", {{"business", "tetteh"}}).Increment();
    registry.counter("requests_total", "Requests.", {{"business", "tetteh"}}).Increment();
    registry.gauge("members", "Live members.").Set(3);
    observe(registry.latency("added_seconds", "Added."), std::chrono::milliseconds(4));
    const auto text = registry.text();
    CHECK_THAT(text, Catch::Contains("requests_total{business=\"tetteh\"} 2"));
    CHECK_THAT(text, Catch::Contains("members 3"));
    CHECK_THAT(text, Catch::Contains("added_seconds_bucket{le=\"0.005\"} 1"));
    CHECK_THAT(text, Catch::Contains("added_seconds_bucket{le=\"0.003\"} 0"));
}
