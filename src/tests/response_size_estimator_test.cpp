#include "load/response_size_estimator.h"

#include <catch2/catch.hpp>

using namespace galenaroad;

TEST_CASE("response_size_estimator: averages by route, with a limit on the number of routes",
          "[relay]")
{
    // Guards against memory that grows with every route that has ever been in a plan.
    response_size_estimator estimator;
    route_rule rule;
    rule.name = "download";
    rule.kind = request_kind::download;
    CHECK(estimator.expected_bytes(rule) == 100'000);
    estimator.record(rule, 1000);
    CHECK(estimator.expected_bytes(rule) == 1000);
    estimator.record(rule, 2000);
    CHECK(estimator.expected_bytes(rule) == 1200);
    for (std::size_t route = 0; route < response_size_estimator::max_routes; ++route) {
        route_rule other;
        other.name = std::to_string(route);
        estimator.record(other, 10);
    }
    CHECK(estimator.expected_bytes(rule) == 100'000);
}
